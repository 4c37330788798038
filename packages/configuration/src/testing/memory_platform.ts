/** An in-memory platform with a change log, for tests. */

import { Deferred, ManualClock, RandomSource } from "@rattanvane/base";
import {
  type RangeQuery,
  type RowWrite,
  TableService,
} from "@rattanvane/platform";
import {
  MemoryObjectStore,
  MemoryTableService,
  PlatformFaults,
} from "@rattanvane/platform/testing";
import type { Operation } from "../change.ts";
import { ConfigurationLog } from "../configuration_log.ts";
import { LogWriter } from "../log_writer.ts";
import {
  createOrganisation,
  createPutOrganisation,
  createSmallFleetOperations,
} from "./fixtures.ts";

const STEP_MILLISECONDS = 50;
const MAXIMUM_WAIT_MILLISECONDS = 600_000;

/** The platform, its fault injection and an empty change log. */
export interface MemoryPlatform {
  clock: ManualClock;
  faults: PlatformFaults;
  table: MemoryTableService;
  objects: MemoryObjectStore;
  log: ConfigurationLog;
  /**
   * Creates a writer that prefixes the ids of its changes with its name and
   * writes to the given table, by default the platform's.
   */
  createWriter(name: string, table?: TableService): LogWriter;
}

/** Creates an empty platform. */
export function createMemoryPlatform(): MemoryPlatform {
  const clock = new ManualClock();
  const faults = new PlatformFaults(clock);
  const table = new MemoryTableService(faults);
  const objects = new MemoryObjectStore(faults);
  const log = new ConfigurationLog(table, objects);
  const createWriter = (name: string, writtenTable: TableService = table) => {
    let count = 0;
    const createId = () => `${name}-${++count}`;
    const random = new RandomSource(1);
    return new LogWriter({ log, table: writtenTable, clock, random, createId });
  };
  return { clock, faults, table, objects, log, createWriter };
}

/** A table whose writes block until a test releases them. */
export class PausedTable extends TableService {
  /** Resolves when the first write has arrived. */
  readonly arrived = new Deferred<void>();
  /** Releases all writes. */
  readonly released = new Deferred<void>();
  readonly #table: TableService;

  constructor(table: TableService) {
    super();
    this.#table = table;
  }

  override read(key: string, signal: AbortSignal) {
    return this.#table.read(key, signal);
  }

  override readRange(query: RangeQuery, signal: AbortSignal) {
    return this.#table.readRange(query, signal);
  }

  override async write(writes: readonly RowWrite[], signal: AbortSignal) {
    this.arrived.resolve();
    await this.released.promise;
    return await this.#table.write(writes, signal);
  }
}

/** Advances the clock until a promise settles. */
export async function settlePromise<Value>(
  promise: Promise<Value>,
  clock: ManualClock,
): Promise<Value> {
  let settled = false;
  const mark = () => {
    settled = true;
  };
  promise.then(mark, mark);
  const end = clock.now() + MAXIMUM_WAIT_MILLISECONDS;
  await clock.advance(0);
  while (!settled && clock.now() < end) {
    await clock.advance(STEP_MILLISECONDS);
  }
  if (!settled) {
    throw new Error("the promise did not settle within the longest wait");
  }
  return await promise;
}

/** Creates operations that set one weight, by which tests tell changes. */
export function createWeightOperations(weight: number): Operation[] {
  return [createPutOrganisation(createOrganisation("bakery", { weight }))];
}

/** Appends a change to the bakery's weight; returns its version. */
export async function writeWeight(
  platform: MemoryPlatform,
  weight: number,
): Promise<number> {
  const append = platform.createWriter("operator").append(
    { author: "operator", operations: createWeightOperations(weight) },
    new AbortController().signal,
  );
  const change = await settlePromise(append, platform.clock);
  return change._unsafeUnwrap().version;
}

/** Appends the small fleet and then changes up to a version. */
export async function writeUpTo(
  platform: MemoryPlatform,
  version: number,
): Promise<void> {
  const { signal } = new AbortController();
  const writer = platform.createWriter("fill");
  const { version: start } = (await platform.log.readHead(signal))
    ._unsafeUnwrap();
  for (let next = start + 1; next <= version; next++) {
    const operations = next === 1
      ? createSmallFleetOperations()
      : createWeightOperations(next);
    const append = writer.append({ author: "fill", operations }, signal);
    (await settlePromise(append, platform.clock))._unsafeUnwrap();
  }
}
