/** Local replica of one of the store's tables. */

import { Buffer } from "node:buffer";
import {
  ChildAbort,
  type Clock,
  Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import {
  type FeedPosition,
  type FeedRow,
  PlatformError,
  PlatformErrorKind,
  type TableChanges,
  type TableFeed,
} from "@rattanvane/platform";
import type { Result } from "neverthrow";
import { type ClockReading, Freshness } from "./freshness.ts";
import { RowDigest } from "./row_digest.ts";
import { comparePositions, type TablePosition } from "./table_position.ts";

const SILENT_REASON = "The store answers on no connection";
const INITIAL_BACKOFF_MILLISECONDS = 40;
const MAX_BACKOFF_MILLISECONDS = 400;
/** A poll that is not answered this long after its wait is sent once more. */
const OVERDUE_MILLISECONDS = 300;
/** The store is taken to be away when this one is not answered either. */
const SECOND_POLL_MILLISECONDS = 700;
/** VMs that follow another one are many, so they retry less often. */
const MAX_FOLLOWER_BACKOFF_MILLISECONDS = 1_500;
const WAIT_JITTER_FRACTION = 0.4;
/** How often a VM that does not poll checks whether it has to. */
const MIN_CHECK_MILLISECONDS = 20;
const MAX_CHECK_MILLISECONDS = 1_000;

/** Removed rows are remembered for this time, in case they are restored. */
const REMOVAL_MEMORY_MILLISECONDS = 60_000;

/** What a poll's answer is compared with. */
interface PollState {
  /** The number of merges of other VMs' rows before the poll. */
  mergeCount: number;
  /** When the poll was sent. */
  sent: ClockReading;
}

interface RemovedRow {
  row: FeedRow;
  removedAt: number;
}

/** Dependencies and settings of a {@link TableReplica}. */
export interface TableReplicaOptions {
  table: string;
  feed: TableFeed;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** How long one long poll waits for changes at most. */
  waitMilliseconds: number;
  /**
   * Whether this VM polls the store all the time. Otherwise another VM sends it
   * the changes, and it polls only when its copy has become too old.
   */
  isPolling: () => boolean;
  /** The age from which a VM polls although another one sends it the changes. */
  maxUnpolledAgeMilliseconds: number;
  /**
   * Whether a row's value is later than that of another row with the same key,
   * whatever their versions; never by default.
   */
  isLater?: (row: FeedRow, other: FeedRow) => boolean;
}

/** A row that was written or removed. */
export interface RowChange {
  key: string;
  /** Undefined for a row that was removed. */
  value: Uint8Array | undefined;
  /** Whether the store has only come back to this state from a copy. */
  isRestored: boolean;
  /** Whether a VM to which the store was not away has read the change. */
  isConfirmed: boolean;
}

/** The store became available or unavailable. */
export interface ConnectivityChange {
  connected: boolean;
}

/** All rows of a table at a position. */
export interface TableCopy extends TablePosition {
  rows: readonly FeedRow[];
  /** Whether it is from a VM to which the store was not away. */
  isConfirmed?: boolean;
}

/** Changes that were applied together. */
export interface TableUpdate extends TablePosition {
  /** The digest of the rows to which the changes apply. */
  digestBefore: string;
  /** The digest after the changes. */
  digest: string;
  rows: readonly FeedRow[];
  removedKeys: readonly string[];
  /** Whether they are from a VM to which the store was not away. */
  isConfirmed?: boolean;
}

/** Replicates one table by long polling and emits every change to it. */
export class TableReplica {
  readonly freshness: Freshness;
  readonly changes = new Emitter<RowChange>();
  /** Emits once for all changes that were applied together. */
  readonly updates = new Emitter<TableUpdate>();
  readonly connectivityChanges = new Emitter<ConnectivityChange>();
  /** Emits before the rows of a new era are applied. */
  readonly eraChanges = new Emitter<void>();
  readonly #options: TableReplicaOptions;
  readonly #isLater: (row: FeedRow, other: FeedRow) => boolean;
  readonly #rows = new Map<string, FeedRow>();
  #digest = new RowDigest();
  #version = -1;
  /** Undefined until the table was read. */
  #era: number | undefined;
  /** The last values of rows that were removed lately. */
  readonly #removedRows = new Map<string, RemovedRow>();
  /** How often rows were merged that another VM had read. */
  #mergeCount = 0;
  #connected = true;
  #consecutiveFailures = 0;
  /** When the store last answered this VM, or another VM said that it had. */
  #answeredAt: number;
  /** A poll was not answered in time, and the next one is being sent. */
  #isOverdue = false;
  /** The next poll returns at once instead of waiting for changes. */
  #isRefreshRequested = true;
  #pollAbort: ChildAbort | undefined;

  constructor(options: TableReplicaOptions) {
    this.#options = options;
    this.#isLater = options.isLater ?? (() => false);
    this.#answeredAt = options.clock.now();
    this.freshness = new Freshness(options.clock);
  }

  get table(): string {
    return this.#options.table;
  }

  /** The store version up to which the replica is complete; -1 for none. */
  get version(): number {
    return this.#version;
  }

  /** The era of the store that gave that version out. */
  get era(): number {
    return this.#era ?? 0;
  }

  /** Whether the store was available at the last poll. */
  get connected(): boolean {
    return this.#connected;
  }

  /** Whether another VM's copy is needed when that is newer. */
  get reliesOnCopies(): boolean {
    return !this.#connected || this.#isOverdue || this.#version < 0 ||
      !this.#options.isPolling();
  }

  /** A digest of the rows; equal for equal rows of the same era. */
  get digest(): string {
    return this.#digest.text;
  }

  listRows(): FeedRow[] {
    return [...this.#rows.values()];
  }

  /** Polls the store at once instead of waiting for changes. */
  refresh(): void {
    if (!this.#isRefreshRequested) {
      this.#isRefreshRequested = true;
      this.#pollAbort?.abort();
    }
  }

  /**
   * Replaces the rows by another VM's copy if that is newer. Of a copy of the
   * same position, takes the rows with later values.
   */
  mergeCopy(copy: TableCopy): void {
    const order = comparePositions(copy, this);
    if (order >= 0) {
      this.#mergeCount++;
    }
    if (order > 0) {
      this.#replaceRows(copy);
    } else if (order === 0) {
      this.#applyChanges({ ...copy, removedKeys: [] });
    }
  }

  /**
   * Applies changes that another VM has read. Returns false if they do not
   * apply to the rows of this replica.
   */
  mergeUpdate(update: TableUpdate): boolean {
    if (update.era < this.era) {
      return true;
    }
    if (update.digest === this.digest) {
      this.confirmPosition(update);
      return true;
    }
    if (this.#version < 0 || update.digestBefore !== this.digest) {
      return false;
    }
    this.#mergeCount++;
    this.#applyChanges(update);
    return this.digest === update.digest;
  }

  /**
   * Records that another VM confirmed these rows with the store, as long ago as
   * stated when this VM asked it at `sentAt`. A VM that does not poll learns
   * only from this that the store is available again.
   */
  confirmAge(sentAt: ClockReading, ageMilliseconds: number): void {
    const { isPolling, maxUnpolledAgeMilliseconds } = this.#options;
    this.freshness.confirm(sentAt, ageMilliseconds);
    const isFollowed = !isPolling() &&
      this.freshness.computeAge() <= maxUnpolledAgeMilliseconds;
    if (isFollowed) {
      this.#recordSuccess();
    }
  }

  /** Records that these rows are complete up to a newer position. */
  confirmPosition(position: TablePosition): void {
    if (this.#version >= 0 && position.era === this.era) {
      this.#version = Math.max(this.#version, position.version);
    }
  }

  /** Replicates the table until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      if (!this.#isPollDue()) {
        await clock.sleep(this.#computeNextCheck(), signal);
        continue;
      }
      const pollAbort = new ChildAbort(signal);
      this.#pollAbort = pollAbort;
      const isSuccess = await this.#poll(pollAbort.signal);
      const wasInterrupted = pollAbort.signal.aborted;
      pollAbort.abort();
      this.#pollAbort = undefined;
      if (!isSuccess && !wasInterrupted) {
        await clock.sleep(this.#computeBackoff(), signal);
      }
    }
  }

  #isPollDue(): boolean {
    const { isPolling, maxUnpolledAgeMilliseconds } = this.#options;
    return isPolling() || this.#version < 0 ||
      this.freshness.computeAge() > maxUnpolledAgeMilliseconds;
  }

  /** Computes when a VM that does not poll may have to. */
  #computeNextCheck(): number {
    const untilStale = this.#options.maxUnpolledAgeMilliseconds -
      this.freshness.computeAge();
    return Math.min(
      MAX_CHECK_MILLISECONDS,
      Math.max(MIN_CHECK_MILLISECONDS, untilStale),
    );
  }

  async #poll(signal: AbortSignal): Promise<boolean> {
    return this.#version < 0
      ? await this.#readAll(signal)
      : await this.#readChanges(signal);
  }

  async #readAll(signal: AbortSignal): Promise<boolean> {
    const { feed, table } = this.#options;
    const sent = this.freshness.readClocks();
    const snapshot = await feed.readTable(table, signal);
    if (snapshot.isErr()) {
      this.#recordFailure(snapshot.error, signal);
      return false;
    }
    if (this.#isOfFormerEra(snapshot.value)) {
      return false;
    }
    this.#recordSuccess();
    if (comparePositions(snapshot.value, this) >= 0) {
      this.#replaceRows(snapshot.value);
    }
    this.#isRefreshRequested = false;
    this.freshness.confirm(sent);
    return true;
  }

  /**
   * Polls once more on a new connection when the answer is overdue: a connection
   * that falls silent is no outage of the store.
   */
  async #readChanges(signal: AbortSignal): Promise<boolean> {
    const { logger, table } = this.#options;
    const waitMilliseconds = this.#isRefreshRequested ||
        !this.#options.isPolling()
      ? 0
      : this.#computeWait();
    this.#isRefreshRequested = false;
    const isSuccess = await this.#runPoll(waitMilliseconds, signal);
    if (isSuccess !== undefined) {
      return isSuccess;
    }
    logger.info("store did not answer in time; asking on a new connection", {
      table,
      version: this.#version,
    });
    this.#isOverdue = true;
    try {
      return await this.#runPollOnNewConnection(signal);
    } finally {
      this.#isOverdue = false;
    }
  }

  /** Returns undefined when the answer is overdue. */
  async #runPoll(
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean | undefined> {
    const poll = new ChildAbort(signal);
    const position = this.#buildPosition(waitMilliseconds);
    const state = this.#readPollState();
    const answer = this.#options.feed.waitForChanges(position, poll.signal);
    const isOverdue = await Promise.race([
      answer.then(() => false),
      this.#waitUntilOverdue(
        waitMilliseconds + OVERDUE_MILLISECONDS,
        poll.signal,
      ),
    ]);
    poll.abort();
    return isOverdue && !signal.aborted
      ? undefined
      : this.#applyAnswer(await answer, state, signal);
  }

  async #runPollOnNewConnection(signal: AbortSignal): Promise<boolean> {
    const position = { ...this.#buildPosition(0), usesNewConnection: true };
    const state = this.#readPollState();
    const answer = this.#options.feed.waitForChanges(position, signal);
    const wait = new ChildAbort(signal);
    const isOverdue = await Promise.race([
      answer.then(() => false),
      this.#waitUntilOverdue(SECOND_POLL_MILLISECONDS, wait.signal),
    ]);
    wait.abort();
    if (isOverdue) {
      // Registrations may lapse meanwhile, whenever the answer comes.
      this.#recordFailure(
        new PlatformError(PlatformErrorKind.Unavailable, SILENT_REASON),
        signal,
      );
    }
    return this.#applyAnswer(await answer, state, signal);
  }

  #buildPosition(waitMilliseconds: number): FeedPosition {
    const { table } = this.#options;
    const version = this.#version;
    return { table, version, waitMilliseconds };
  }

  #readPollState(): PollState {
    return {
      mergeCount: this.#mergeCount,
      sent: this.freshness.readClocks(),
    };
  }

  async #waitUntilOverdue(
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    await this.#options.clock.sleep(waitMilliseconds, signal);
    // After this VM was busy, timers run before an answer that has arrived.
    await new Promise((resolve) => setImmediate(resolve));
    return true;
  }

  #applyAnswer(
    result: Result<TableChanges, PlatformError>,
    { mergeCount, sent }: PollState,
    signal: AbortSignal,
  ): boolean {
    if (result.isErr()) {
      this.#handleFailure(result.error, signal);
      return false;
    }
    const { changes, version, era } = result.value;
    if (this.#isOfFormerEra(result.value)) {
      return false;
    }
    this.#recordSuccess();
    if (era > this.era) {
      this.#options.logger.warn(
        "store has come back from a copy; reading the whole table",
        {
          table: this.table,
          era,
          former: this.era,
          version,
          held: this.#version,
        },
      );
      this.#version = -1;
      return true;
    }
    if (this.#mergeCount !== mergeCount) {
      // Rows of another VM were merged meanwhile, which may be newer than a
      // removal in this result.
      this.#isRefreshRequested = true;
      return true;
    }
    const latest = new Map(changes.map(({ key, row }) => [key, row]));
    const rows = [...latest.values()].filter((row) => row !== undefined);
    const removedKeys = [...latest.keys()].filter((key) =>
      latest.get(key) === undefined
    );
    this.#applyChanges({ rows, removedKeys, version, era });
    this.freshness.confirm(sent);
    return true;
  }

  #handleFailure(error: PlatformError, signal: AbortSignal): void {
    if (error.kind !== PlatformErrorKind.HistoryGone) {
      this.#recordFailure(error, signal);
      return;
    }
    this.#options.logger.warn(
      "change history is no longer available; reading the whole table",
      {
        table: this.#options.table,
        version: this.#version,
      },
    );
    this.#version = -1;
  }

  /** An answer may have been on its way since before the store came back. */
  #isOfFormerEra({ era }: TablePosition): boolean {
    const isFormer = era < this.era;
    if (isFormer) {
      this.#options.logger.info(
        "an answer of a former era of the store was ignored",
        { table: this.table, era, current: this.era },
      );
    }
    return isFormer;
  }

  #replaceRows(copy: TableCopy): void {
    const presentKeys = new Set(copy.rows.map(({ key }) => key));
    const removedKeys = [...this.#rows.keys()].filter((key) =>
      !presentKeys.has(key)
    );
    this.#applyChanges({ ...copy, removedKeys });
    this.#version = copy.version;
  }

  #applyChanges(
    changes: Pick<
      TableUpdate,
      "rows" | "removedKeys" | "version" | "era" | "isConfirmed"
    >,
  ): void {
    const { isConfirmed = false } = changes;
    const digestBefore = this.digest;
    const isRestored = this.#startEra(changes.era);
    const changedRows = isRestored
      ? this.#listRestored(changes.rows)
      : changes.rows.filter((row) => this.#isNewer(row));
    const removedKeys = changes.removedKeys.filter((key) =>
      this.#rows.has(key)
    );
    const presentRows = changedRows.filter((row) =>
      !isRestored || !this.#wasRemoved(row)
    );
    for (const row of changedRows) {
      this.#writeRow(row);
    }
    for (const key of removedKeys) {
      this.#removeRow(key);
    }
    this.#version = isRestored
      ? changes.version
      : Math.max(this.#version, changes.version);
    for (const { key, value } of presentRows) {
      this.changes.emit({ key, value, isRestored, isConfirmed });
    }
    for (const key of removedKeys) {
      this.changes.emit({ key, value: undefined, isRestored, isConfirmed });
    }
    if (this.digest !== digestBefore) {
      this.updates.emit({
        digestBefore,
        digest: this.digest,
        version: this.#version,
        era: this.era,
        rows: changedRows,
        removedKeys,
        isConfirmed,
      });
    }
  }

  /** Returns whether rows of a former era were read before. */
  #startEra(era: number): boolean {
    const isRestored = this.#era !== undefined && era > this.#era;
    if (this.#era === undefined || isRestored) {
      this.#era = era;
      this.#digest = new RowDigest(era > 0);
      this.#rows.forEach((row) => this.#digest.add(row));
    }
    if (isRestored) {
      this.eraChanges.emit();
    }
    return isRestored;
  }

  /** Lists the rows that differ from those held, with the later values. */
  #listRestored(rows: readonly FeedRow[]): FeedRow[] {
    return rows.flatMap((row) => {
      const held = this.#rows.get(row.key);
      if (held === undefined) {
        return [row];
      }
      const value = this.#isLater(held, row) ? held.value : row.value;
      const isSame = held.version === row.version &&
        Buffer.compare(held.value, value) === 0;
      return isSame ? [] : [{ ...row, value }];
    });
  }

  #isNewer(row: FeedRow): boolean {
    const previous = this.#rows.get(row.key);
    return previous === undefined || previous.version < row.version ||
      previous.version === row.version && this.#isLater(row, previous);
  }

  /** Whether this very row was removed before the store came back. */
  #wasRemoved({ key, version, value }: FeedRow): boolean {
    const removed = this.#removedRows.get(key)?.row;
    return removed?.version === version &&
      Buffer.compare(removed.value, value) === 0;
  }

  #writeRow(row: FeedRow): void {
    this.#rows.set(row.key, row);
    this.#digest.add(row);
  }

  #removeRow(key: string): void {
    const row = this.#rows.get(key);
    if (row === undefined) {
      return;
    }
    this.#rows.delete(key);
    this.#digest.remove(key);
    const removedAt = this.#options.clock.now();
    this.#removedRows.delete(key);
    this.#removedRows.set(key, { row, removedAt });
    for (const [removedKey, removed] of this.#removedRows) {
      if (removed.removedAt >= removedAt - REMOVAL_MEMORY_MILLISECONDS) {
        return;
      }
      this.#removedRows.delete(removedKey);
    }
  }

  #recordSuccess(): void {
    this.#consecutiveFailures = 0;
    this.#answeredAt = this.#options.clock.now();
    if (this.#connected) {
      return;
    }
    this.#connected = true;
    this.#options.logger.info("store is available again", {
      table: this.#options.table,
    });
    this.connectivityChanges.emit({ connected: true });
  }

  #recordFailure(
    { kind, message }: PlatformError,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) {
      return;
    }
    this.#consecutiveFailures++;
    this.#isRefreshRequested = true;
    if (!this.#connected) {
      return;
    }
    this.#connected = false;
    this.#options.logger.warn("store is unavailable", {
      table: this.#options.table,
      version: this.#version,
      kind,
      reason: message,
      sinceAnswerMilliseconds: Math.round(
        this.#options.clock.now() - this.#answeredAt,
      ),
    });
    this.connectivityChanges.emit({ connected: false });
  }

  /** Varies the waits, so that the polls of several VMs end at different times. */
  #computeWait(): number {
    const { waitMilliseconds, random } = this.#options;
    return waitMilliseconds *
      (1 - WAIT_JITTER_FRACTION * random.nextFraction());
  }

  #computeBackoff(): number {
    const limit = this.#options.isPolling()
      ? MAX_BACKOFF_MILLISECONDS
      : MAX_FOLLOWER_BACKOFF_MILLISECONDS;
    return Math.min(
      limit,
      INITIAL_BACKOFF_MILLISECONDS *
        2 ** Math.min(this.#consecutiveFailures, 10),
    );
  }
}
