/** Measurement of the memory that tests hold. */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** The bytes that are still referenced, in and outside of the heap. */
export function measureMemory(): number {
  setFlagsFromString("--expose-gc");
  runInNewContext("gc")();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
