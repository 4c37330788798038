/** Processor time and memory of this process. */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const TURNS = 3;

/** Processor time of this process so far, in microseconds. */
export function readProcessorMicroseconds(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** The heap in use, in bytes, once garbage has been collected. */
export async function readHeapBytes(): Promise<number> {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  for (let turn = 0; turn < TURNS; turn++) {
    collect();
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  return process.memoryUsage().heapUsed;
}
