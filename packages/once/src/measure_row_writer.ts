/** Measures group commit: transactions a second against the delay it adds. */

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

/** What is measured: a fleet's keyed calls, written by some of its VMs. */
export interface RowWriterScenario {
  /** VMs that write rows; the others pass theirs on to one of them. */
  collectors: number;
  callsPerSecond: number;
  batchMilliseconds: number;
  /** From a VM to its collector, one way; 0 when each VM writes itself. */
  hopMilliseconds: number;
  tableMilliseconds: number;
  /** From a call's row to its result. */
  callMilliseconds: number;
  seconds: number;
  seed: number;
}

/** What was seen. */
export interface RowWriterFigures {
  transactionsPerSecond: number;
  rowsPerTransaction: number;
  /** From handing a row over to knowing that it is written. */
  medianDelayMilliseconds: number;
  slowDelayMilliseconds: number;
}

interface Counts {
  transactions: number;
  rows: number;
  delays: number[];
}

/** Runs a scenario on a clock of its own; the same seed, the same figures. */
export async function measureRowWriters(
  scenario: RowWriterScenario,
): Promise<RowWriterFigures> {
  const clock = new ManualClock();
  const random = new RandomSource(scenario.seed);
  const stop = new AbortController();
  const counts: Counts = { transactions: 0, rows: 0, delays: [] };
  const table = createCountingTable(scenario, { clock, counts });
  const writers = Array.from(
    { length: scenario.collectors },
    (_, number) =>
      new LocalRowWriter({
        table,
        clock,
        random,
        writer: `w${number}`,
        batchMilliseconds: scenario.batchMilliseconds,
      }, stop.signal),
  );
  void startCalls(scenario, { clock, random, writers, counts, stop });
  await clock.advance(scenario.seconds * MILLISECONDS_PER_SECOND);
  stop.abort();
  return computeFigures(scenario, counts);
}

interface Fleet {
  clock: ManualClock;
  random: RandomSource;
  writers: RowWriter[];
  counts: Counts;
  stop: AbortController;
}

async function startCalls(
  scenario: RowWriterScenario,
  fleet: Fleet,
): Promise<void> {
  const { clock, random, stop } = fleet;
  const meanGap = MILLISECONDS_PER_SECOND / scenario.callsPerSecond;
  for (let call = 0; !stop.signal.aborted; call++) {
    void runCall(scenario, fleet, call);
    const gap = -Math.log(1 - random.nextFraction()) * meanGap;
    await clock.sleep(gap, stop.signal);
  }
}

async function runCall(
  scenario: RowWriterScenario,
  fleet: Fleet,
  call: number,
): Promise<void> {
  const { clock, random, writers, stop } = fleet;
  const writer = random.pick(writers) as RowWriter;
  const insert = { kind: WriteConditionKind.Absent } as const;
  await writeRow(scenario, fleet, {
    writer,
    key: `${call}`,
    condition: insert,
  });
  await clock.sleep(scenario.callMilliseconds, stop.signal);
  const update = { kind: WriteConditionKind.AtVersion, version: 1 } as const;
  await writeRow(scenario, fleet, {
    writer,
    key: `${call}`,
    condition: update,
  });
}

async function writeRow(
  scenario: RowWriterScenario,
  fleet: Fleet,
  row: {
    writer: RowWriter;
    key: string;
    condition: Parameters<RowWriter["write"]>[0]["condition"];
  },
): Promise<void> {
  const { clock, counts, stop } = fleet;
  const { writer, key, condition } = row;
  const startedAt = clock.now();
  if (scenario.hopMilliseconds > 0) {
    await clock.sleep(scenario.hopMilliseconds, stop.signal);
  }
  const write = { key, condition, value: "{}" };
  const written = await writer.write(write, stop.signal);
  if (scenario.hopMilliseconds > 0) {
    await clock.sleep(scenario.hopMilliseconds, stop.signal);
  }
  if (written.isOk()) {
    counts.delays.push(clock.now() - startedAt);
  }
}

/** A table that is never in conflict: only its cost matters here. */
function createCountingTable(
  scenario: RowWriterScenario,
  options: { clock: ManualClock; counts: Counts },
): TableService {
  const { clock, counts } = options;
  const write: TableService["write"] = async (writes, signal) => {
    counts.transactions++;
    counts.rows += writes.length;
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

function computeFigures(
  scenario: RowWriterScenario,
  counts: Counts,
): RowWriterFigures {
  const sorted = counts.delays.sort((first, second) => first - second);
  return {
    transactionsPerSecond: counts.transactions / scenario.seconds,
    rowsPerTransaction: counts.rows / counts.transactions,
    medianDelayMilliseconds: pickQuantile(sorted, 0.5),
    slowDelayMilliseconds: pickQuantile(sorted, 0.99),
  };
}

function pickQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.floor(sorted.length * quantile)] ?? Number.NaN;
}
