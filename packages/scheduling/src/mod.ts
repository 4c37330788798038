/** Pool ownership, lease terms and the scheduler of each pool. */

export * from "./ownership/mod.ts";
export * from "./pool/mod.ts";
