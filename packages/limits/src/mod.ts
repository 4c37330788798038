/** Endpoint limits, cold starts, suspects and quarantine. */

export {};
