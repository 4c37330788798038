/** Prints the measurements of group commit; see docs/design/at-most-once.md. */

import process from "node:process";
import { measureRowWriters } from "./measure_row_writer.ts";

const DEFAULT_SEED = 1;
const VMS = 420;
const COLLECTOR_COUNTS = [VMS, 60, 30, 20, 10, 5];
const BATCH_MILLISECONDS = [5, 20, 50];
const BASE = {
  callsPerSecond: 580,
  tableMilliseconds: 10,
  callMilliseconds: 1_000,
  seconds: 10,
};

const seed = Number(process.argv[2] ?? DEFAULT_SEED);
console.log(`seed ${seed}, ${JSON.stringify(BASE)}`);
console.log("collectors  batch ms  transactions/s  rows each  p50 ms  p99 ms");
for (const collectors of COLLECTOR_COUNTS) {
  for (const batchMilliseconds of BATCH_MILLISECONDS) {
    const forwardingMilliseconds = collectors === VMS ? 0 : 1;
    const figures = await measureRowWriters({
      ...BASE,
      collectors,
      batchMilliseconds,
      forwardingMilliseconds,
      seed,
    });
    const columns = [
      collectors,
      batchMilliseconds,
      figures.transactionsPerSecond.toFixed(0),
      figures.rowsPerTransaction.toFixed(1),
      figures.medianDelayMilliseconds.toFixed(0),
      figures.p99DelayMilliseconds.toFixed(0),
    ];
    console.log(columns.map((text) => String(text).padStart(10)).join("  "));
  }
}
