/** The router's settings file: schema, checks and defaults. */

export {};
