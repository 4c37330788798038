/** Measures group commit: transactions per second against the latency it adds. */

import { ManualClock, RandomSource } from "@rattanvane/base";
import {
  type TableService,
  WriteConditionKind,
  type WrittenRow,
} from "@rattanvane/platform";
import { ok } from "neverthrow";
import { LocalRowWriter } from "./local_row_writer.ts";
import type { RowWriter } from "./row_writer.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** The simulated load: a fleet's keyed calls, whose rows some VMs write. */
export interface RowWriterScenario {
  /** The number of VMs that write rows; the others forward theirs to them. */
  collectors: number;
  callsPerSecond: number;
  batchMilliseconds: number;
  /** The one-way delay from a VM to its collector; 0 when all VMs write rows. */
  forwardingMilliseconds: number;
  /** The duration of a transaction. */
  tableMilliseconds: number;
  /** The time from writing a call's row to recording its result. */
  callMilliseconds: number;
  seconds: number;
  seed: number;
}

/** The measured rates and latencies. */
export interface RowWriterStatistics {
  transactionsPerSecond: number;
  rowsPerTransaction: number;
  /** The time from submitting a row until it is known to be written. */
  medianDelayMilliseconds: number;
  p99DelayMilliseconds: number;
}

interface Samples {
  transactions: number;
  rows: number;
  delaysMilliseconds: number[];
}

/** Simulates a scenario on a manual clock; deterministic for a given seed. */
export async function measureRowWriters(
  scenario: RowWriterScenario,
): Promise<RowWriterStatistics> {
  const clock = new ManualClock();
  const random = new RandomSource(scenario.seed);
  const stop = new AbortController();
  const samples: Samples = { transactions: 0, rows: 0, delaysMilliseconds: [] };
  const table = createCountingTable(scenario, { clock, samples });
  const writers = Array.from(
    { length: scenario.collectors },
    (_, number) =>
      new LocalRowWriter({
        table,
        clock,
        random,
        writerId: `w${number}`,
        batchMilliseconds: scenario.batchMilliseconds,
      }, stop.signal),
  );
  void generateCalls(scenario, { clock, random, writers, samples, stop });
  await clock.advance(scenario.seconds * MILLISECONDS_PER_SECOND);
  stop.abort();
  return computeStatistics(scenario, samples);
}

interface Simulation {
  clock: ManualClock;
  random: RandomSource;
  writers: RowWriter[];
  samples: Samples;
  stop: AbortController;
}

/** Starts calls as a Poisson process until the simulation stops. */
async function generateCalls(
  scenario: RowWriterScenario,
  simulation: Simulation,
): Promise<void> {
  const { clock, random, stop } = simulation;
  const meanGap = MILLISECONDS_PER_SECOND / scenario.callsPerSecond;
  for (let call = 0; !stop.signal.aborted; call++) {
    void runCall(scenario, simulation, call);
    const gap = -Math.log(1 - random.nextFraction()) * meanGap;
    await clock.sleep(gap, stop.signal);
  }
}

async function runCall(
  scenario: RowWriterScenario,
  simulation: Simulation,
  call: number,
): Promise<void> {
  const { clock, random, writers, stop } = simulation;
  const writer = random.pick(writers) as RowWriter;
  const insert = { kind: WriteConditionKind.Absent } as const;
  await writeRow(scenario, simulation, {
    writer,
    key: `${call}`,
    condition: insert,
  });
  await clock.sleep(scenario.callMilliseconds, stop.signal);
  const update = { kind: WriteConditionKind.AtVersion, version: 1 } as const;
  await writeRow(scenario, simulation, {
    writer,
    key: `${call}`,
    condition: update,
  });
}

async function writeRow(
  scenario: RowWriterScenario,
  simulation: Simulation,
  row: {
    writer: RowWriter;
    key: string;
    condition: Parameters<RowWriter["write"]>[0]["condition"];
  },
): Promise<void> {
  const { clock, samples, stop } = simulation;
  const { writer, key, condition } = row;
  const startedAt = clock.now();
  if (scenario.forwardingMilliseconds > 0) {
    await clock.sleep(scenario.forwardingMilliseconds, stop.signal);
  }
  const write = { key, condition, value: "{}" };
  const written = await writer.write(write, stop.signal);
  if (scenario.forwardingMilliseconds > 0) {
    await clock.sleep(scenario.forwardingMilliseconds, stop.signal);
  }
  if (written.isOk()) {
    samples.delaysMilliseconds.push(clock.now() - startedAt);
  }
}

/** Creates a table without conflicts that counts transactions and rows. */
function createCountingTable(
  scenario: RowWriterScenario,
  options: { clock: ManualClock; samples: Samples },
): TableService {
  const { clock, samples } = options;
  const write: TableService["write"] = async (writes, signal) => {
    samples.transactions++;
    samples.rows += writes.length;
    await clock.sleep(scenario.tableMilliseconds, signal);
    const rows: WrittenRow[] = writes.map(({ key }) => ({ key, version: 1 }));
    return ok(rows);
  };
  return {
    write,
    read: () => Promise.resolve(ok(undefined)),
    readRange: () => Promise.resolve(ok([])),
  };
}

function computeStatistics(
  scenario: RowWriterScenario,
  samples: Samples,
): RowWriterStatistics {
  const sorted = samples.delaysMilliseconds.sort((first, second) =>
    first - second
  );
  return {
    transactionsPerSecond: samples.transactions / scenario.seconds,
    rowsPerTransaction: samples.rows / samples.transactions,
    medianDelayMilliseconds: computeQuantile(sorted, 0.5),
    p99DelayMilliseconds: computeQuantile(sorted, 0.99),
  };
}

function computeQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.floor(sorted.length * quantile)] ?? Number.NaN;
}
