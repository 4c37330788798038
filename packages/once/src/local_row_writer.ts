/** Group commit: rows that arrive together share a transaction. */

import {
  type BackoffOptions,
  type Clock,
  computeBackoff,
  Deferred,
  type RandomSource,
} from "@rattanvane/base";
import {
  addAbortListener,
  MAXIMUM_TRANSACTION_WRITES,
  PlatformError,
  PlatformErrorKind,
  type RowWrite,
  type TableService,
  WriteConditionKind,
  type WrittenRow,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import { type ConditionalWrite, RowWriter } from "./row_writer.ts";

/** The start of the rows that count a writer's transactions. */
export const WRITER_ROW_PREFIX = "once-writer/";

const MOST_ROWS = MAXIMUM_TRANSACTION_WRITES - 1;
const DEFAULT_TRIES = 4;
const DEFAULT_BACKOFF: BackoffOptions = {
  initialMilliseconds: 50,
  maximumMilliseconds: 500,
};

/** Settings of a writer. */
export interface LocalRowWriterOptions {
  table: TableService;
  clock: Clock;
  random: RandomSource;
  /** Names this writer; no other process ever uses the same name. */
  writer: string;
  /** How long a row may wait for others. */
  batchMilliseconds: number;
  /** How often a transaction of unknown outcome is tried. */
  tries?: number;
  backoff?: BackoffOptions;
}

interface PendingRow {
  write: ConditionalWrite;
  written: Deferred<Result<WrittenRow, PlatformError>>;
}

/**
 * Writes up to 99 rows and a marker in one transaction, one at a time. The
 * marker's version counts the transactions: a transaction whose answer was
 * lost is sent again, and its marker lets it take effect only once.
 */
export class LocalRowWriter extends RowWriter {
  readonly #options: Required<LocalRowWriterOptions>;
  readonly #signal: AbortSignal;
  #queue: PendingRow[] = [];
  #arrival = new Deferred<void>();
  #markerSequence = 0;
  #markerVersion = 0;

  constructor(options: LocalRowWriterOptions, signal: AbortSignal) {
    super();
    this.#options = {
      tries: DEFAULT_TRIES,
      backoff: DEFAULT_BACKOFF,
      ...options,
    };
    this.#signal = signal;
    addAbortListener(signal, () => this.#arrival.resolve());
    void this.#run();
  }

  override write(
    write: ConditionalWrite,
  ): Promise<Result<WrittenRow, PlatformError>> {
    if (this.#signal.aborted) {
      return Promise.resolve(err(createStoppedError()));
    }
    const pending = { write, written: new Deferred<WriteResult>() };
    this.#queue.push(pending);
    this.#arrival.resolve();
    return pending.written.promise;
  }

  async #run(): Promise<void> {
    const { clock, batchMilliseconds } = this.#options;
    while (!this.#signal.aborted) {
      await this.#arrival.promise;
      if (this.#queue.length < MOST_ROWS) {
        await clock.sleep(batchMilliseconds, this.#signal);
      }
      const batch = this.#pickBatch();
      if (batch.length > 0) {
        await this.#commit(batch);
      }
    }
    settleAll(this.#queue, err(createStoppedError()));
  }

  /** Takes each row at most once; a second write of a row has to wait. */
  #pickBatch(): PendingRow[] {
    const batch = new Map<string, PendingRow>();
    const rest: PendingRow[] = [];
    for (const pending of this.#queue) {
      const isFull = batch.size >= MOST_ROWS;
      if (isFull || batch.has(pending.write.key)) {
        rest.push(pending);
      } else {
        batch.set(pending.write.key, pending);
      }
    }
    this.#queue = rest;
    this.#arrival = new Deferred();
    if (rest.length > 0 || this.#signal.aborted) {
      this.#arrival.resolve();
    }
    return [...batch.values()];
  }

  async #commit(batch: PendingRow[]): Promise<void> {
    let rows = batch;
    let mayBeDone = false;
    for (let unknown = 0; unknown < this.#options.tries && rows.length > 0;) {
      const result = await this.#writeOnce(rows);
      if (result.isOk()) {
        this.#markerVersion++;
        settleDone(rows);
        return;
      }
      const { error } = result;
      if (error.kind !== PlatformErrorKind.Conflict) {
        mayBeDone ||= error.kind === PlatformErrorKind.OutcomeUnknown;
        if (!mayBeDone) {
          settleAll(rows, err(error));
          return;
        }
        await this.#waitToRetry(unknown++);
        continue;
      }
      if (!error.conflicts.includes(this.#formatMarkerKey())) {
        rows = settleConflicts(rows, error);
        continue;
      }
      if (mayBeDone) {
        await this.#settleByMarker(rows);
        return;
      }
      this.#startNewMarker();
      unknown++;
    }
    this.#startNewMarker();
    settleAll(rows, err(createUnknownError()));
  }

  #writeOnce(
    rows: PendingRow[],
  ): Promise<Result<WrittenRow[], PlatformError>> {
    const writes = rows.map((pending) => pending.write);
    return this.#options.table.write(
      [this.#createMarker(), ...writes],
      this.#signal,
    );
  }

  /** The marker has moved on: an earlier try of these rows took effect. */
  async #settleByMarker(rows: PendingRow[]): Promise<void> {
    const { table } = this.#options;
    const key = this.#formatMarkerKey();
    const marker = await table.read(key, this.#signal);
    const reached = marker.isOk() ? marker.value?.version : undefined;
    if (reached === this.#markerVersion + 1) {
      this.#markerVersion++;
      settleDone(rows);
      return;
    }
    // Removed by a clean-up, or not readable: each row has to be read.
    this.#startNewMarker();
    settleAll(rows, err(createUnknownError()));
  }

  async #waitToRetry(attempt: number): Promise<void> {
    const { backoff, clock, random } = this.#options;
    const delay = computeBackoff(attempt, { ...backoff, random });
    await clock.sleep(delay, this.#signal);
  }

  #startNewMarker(): void {
    this.#markerSequence++;
    this.#markerVersion = 0;
  }

  #createMarker(): RowWrite {
    const version = this.#markerVersion;
    return {
      key: this.#formatMarkerKey(),
      condition: version === 0
        ? { kind: WriteConditionKind.Absent }
        : { kind: WriteConditionKind.AtVersion, version },
      value: String(Math.floor(this.#options.clock.wallTime())),
    };
  }

  #formatMarkerKey(): string {
    const { writer } = this.#options;
    return `${WRITER_ROW_PREFIX}${writer}/${this.#markerSequence}`;
  }
}

type WriteResult = Result<WrittenRow, PlatformError>;

function settleDone(rows: readonly PendingRow[]): void {
  for (const { write, written } of rows) {
    const version = computeNewVersion(write);
    written.resolve(ok({ key: write.key, version }));
  }
}

function settleAll(rows: readonly PendingRow[], result: WriteResult): void {
  for (const pending of rows) {
    pending.written.resolve(result);
  }
}

/** Fails the rows whose conditions did not hold; returns the others. */
function settleConflicts(
  rows: readonly PendingRow[],
  error: PlatformError,
): PendingRow[] {
  const conflicts = new Set(error.conflicts);
  const inConflict = rows.filter(({ write }) => conflicts.has(write.key));
  if (inConflict.length === 0) {
    // The platform blames rows that were not sent; nothing can be retried.
    settleAll(rows, err(createUnknownError()));
    return [];
  }
  for (const { write, written } of inConflict) {
    const problem = `The condition of row "${write.key}" did not hold`;
    const own = { conflicts: [write.key] };
    const conflict = PlatformErrorKind.Conflict;
    written.resolve(err(new PlatformError(conflict, problem, own)));
  }
  return rows.filter(({ write }) => !conflicts.has(write.key));
}

function computeNewVersion(write: ConditionalWrite): number {
  if (write.value === undefined) {
    return 0;
  }
  return write.condition.kind === WriteConditionKind.Absent
    ? 1
    : write.condition.version + 1;
}

function createStoppedError(): PlatformError {
  return new PlatformError(
    PlatformErrorKind.Unavailable,
    "The row was not written because the process is stopping",
  );
}

function createUnknownError(): PlatformError {
  return new PlatformError(
    PlatformErrorKind.OutcomeUnknown,
    "The answers of a transaction were lost",
  );
}
