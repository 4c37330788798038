/** Group commit: writes rows that arrive together in one transaction. */

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

/** The prefix of the marker rows, which count the transactions of a writer. */
export const WRITER_ROW_PREFIX = "once-writer/";

/** One write of each transaction is that of the marker row. */
const MAXIMUM_BATCH_ROWS = MAXIMUM_TRANSACTION_WRITES - 1;
const DEFAULT_MAXIMUM_ATTEMPTS = 4;
const DEFAULT_BACKOFF: BackoffOptions = {
  initialMilliseconds: 50,
  maximumMilliseconds: 500,
};

/** Dependencies and settings of a {@link LocalRowWriter}. */
export interface LocalRowWriterOptions {
  table: TableService;
  clock: Clock;
  random: RandomSource;
  /** The id of this writer; unique for every process that ever runs. */
  writerId: string;
  /** How long a row waits for others to share its transaction. */
  batchMilliseconds: number;
  /** The maximum number of attempts of a transaction whose outcome stays unknown. */
  maximumAttempts?: number;
  backoff?: BackoffOptions;
}

interface PendingRow {
  write: ConditionalWrite;
  written: Deferred<Result<WrittenRow, PlatformError>>;
}

/**
 * Writes up to 99 rows and a marker row in each transaction, and sends one
 * transaction at a time. Each transaction increments the version of the marker
 * on the condition that it is unchanged. This makes transactions idempotent: one
 * whose answer was lost can be sent again and takes effect only once.
 */
export class LocalRowWriter extends RowWriter {
  readonly #options: Required<LocalRowWriterOptions>;
  readonly #signal: AbortSignal;
  #queue: PendingRow[] = [];
  #rowsQueued = new Deferred<void>();
  #markerSequence = 0;
  #markerVersion = 0;

  constructor(options: LocalRowWriterOptions, signal: AbortSignal) {
    super();
    this.#options = {
      maximumAttempts: DEFAULT_MAXIMUM_ATTEMPTS,
      backoff: DEFAULT_BACKOFF,
      ...options,
    };
    this.#signal = signal;
    addAbortListener(signal, () => this.#rowsQueued.resolve());
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
    this.#rowsQueued.resolve();
    return pending.written.promise;
  }

  async #run(): Promise<void> {
    const { clock, batchMilliseconds } = this.#options;
    while (!this.#signal.aborted) {
      await this.#rowsQueued.promise;
      if (this.#queue.length < MAXIMUM_BATCH_ROWS) {
        await clock.sleep(batchMilliseconds, this.#signal);
      }
      const batch = this.#collectBatch();
      if (batch.length > 0) {
        await this.#commit(batch);
      }
    }
    settleAll(this.#queue, err(createStoppedError()));
  }

  /**
   * Removes the next batch from the queue. It contains each row at most once; a
   * second write to the same row waits for the next batch.
   */
  #collectBatch(): PendingRow[] {
    const batch = new Map<string, PendingRow>();
    const rest: PendingRow[] = [];
    for (const pending of this.#queue) {
      const isFull = batch.size >= MAXIMUM_BATCH_ROWS;
      if (isFull || batch.has(pending.write.key)) {
        rest.push(pending);
      } else {
        batch.set(pending.write.key, pending);
      }
    }
    this.#queue = rest;
    this.#rowsQueued = new Deferred();
    if (rest.length > 0 || this.#signal.aborted) {
      this.#rowsQueued.resolve();
    }
    return [...batch.values()];
  }

  async #commit(batch: PendingRow[]): Promise<void> {
    let rows = batch;
    let mayBeCommitted = false;
    for (
      let attempt = 0;
      attempt < this.#options.maximumAttempts && rows.length > 0;
    ) {
      const result = await this.#writeOnce(rows);
      if (result.isOk()) {
        this.#markerVersion++;
        settleCommitted(rows);
        return;
      }
      const { error } = result;
      if (error.kind !== PlatformErrorKind.Conflict) {
        mayBeCommitted ||= error.kind === PlatformErrorKind.OutcomeUnknown;
        if (!mayBeCommitted) {
          settleAll(rows, err(error));
          return;
        }
        await this.#waitToRetry(attempt++);
        continue;
      }
      if (!error.conflicts.includes(this.#formatMarkerKey())) {
        rows = settleConflicts(rows, error);
        continue;
      }
      if (mayBeCommitted) {
        await this.#resolveByMarker(rows);
        return;
      }
      this.#startNewMarker();
      attempt++;
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

  /**
   * Settles rows whose marker condition failed after an attempt with an unknown
   * outcome. When the marker is at its next version, that attempt was committed.
   */
  async #resolveByMarker(rows: PendingRow[]): Promise<void> {
    const { table } = this.#options;
    const key = this.#formatMarkerKey();
    const marker = await table.read(key, this.#signal);
    const version = marker.isOk() ? marker.value?.version : undefined;
    if (version === this.#markerVersion + 1) {
      this.#markerVersion++;
      settleCommitted(rows);
      return;
    }
    // The marker was removed by the cleaner or cannot be read. The outcome stays
    // unknown until the callers read their rows.
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
    const { writerId } = this.#options;
    return `${WRITER_ROW_PREFIX}${writerId}/${this.#markerSequence}`;
  }
}

type WriteResult = Result<WrittenRow, PlatformError>;

function settleCommitted(rows: readonly PendingRow[]): void {
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

/** Fails the rows whose conditions did not hold; returns the remaining rows. */
function settleConflicts(
  rows: readonly PendingRow[],
  error: PlatformError,
): PendingRow[] {
  const conflicts = new Set(error.conflicts);
  const inConflict = rows.filter(({ write }) => conflicts.has(write.key));
  if (inConflict.length === 0) {
    // The platform reports conflicts of rows that were not sent, so there are no
    // rows to exclude from a retry.
    settleAll(rows, err(createUnknownError()));
    return [];
  }
  for (const { write, written } of inConflict) {
    const problem = `The condition of row "${write.key}" did not hold`;
    const details = { conflicts: [write.key] };
    const kind = PlatformErrorKind.Conflict;
    written.resolve(err(new PlatformError(kind, problem, details)));
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
    "The outcome of the row's transaction is unknown",
  );
}
