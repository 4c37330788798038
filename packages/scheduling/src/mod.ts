/** Ownership of pools, terms and the scheduler of a pool. */

export * from "./pool/mod.ts";
export * from "./ownership/mod.ts";
