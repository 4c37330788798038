/** Ownership of pools, terms and the scheduler of a pool. */

export * from "./ownership/mod.ts";
export * from "./pool/mod.ts";
