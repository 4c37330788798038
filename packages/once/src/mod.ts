/** At-most-once execution of calls that must not be repeated. */

export {};
