/** Local replica of one of the store's tables. */

import { createHash } from "node:crypto";
import { ChildAbort, type Clock, Emitter, type Logger } from "@rattanvane/base";
import {
  type FeedRow,
  PlatformErrorKind,
  type TableFeed,
} from "@rattanvane/platform";
import { Freshness } from "./freshness.ts";

const DIGEST_CHARACTERS = 16;
const INITIAL_BACKOFF_MILLISECONDS = 40;
const MAX_BACKOFF_MILLISECONDS = 400;

/** Dependencies and settings of a {@link TableReplica}. */
export interface TableReplicaOptions {
  table: string;
  feed: TableFeed;
  clock: Clock;
  logger: Logger;
  /** How long one long poll waits for changes. */
  waitMilliseconds: number;
}

/** A row that was written or removed. */
export interface RowChange {
  key: string;
  /** Undefined for a row that was removed. */
  value: Uint8Array | undefined;
}

/** The store became available or unavailable. */
export interface ConnectivityChange {
  connected: boolean;
}

/** Replicates one table by long polling and emits every change to it. */
export class TableReplica {
  readonly freshness: Freshness;
  readonly changes = new Emitter<RowChange>();
  readonly connectivityChanges = new Emitter<ConnectivityChange>();
  readonly #options: TableReplicaOptions;
  readonly #rows = new Map<string, FeedRow>();
  #version = -1;
  #digest = "";
  #connected = true;
  #consecutiveFailures = 0;
  /** The next poll returns at once instead of waiting for changes. */
  #isRefreshRequested = true;
  #pollAbort: ChildAbort | undefined;

  constructor(options: TableReplicaOptions) {
    this.#options = options;
    this.freshness = new Freshness(options.clock);
  }

  get table(): string {
    return this.#options.table;
  }

  /** The store version up to which the replica is complete; -1 for none. */
  get version(): number {
    return this.#version;
  }

  /** Whether the store was available at the last poll. */
  get connected(): boolean {
    return this.#connected;
  }

  /** A digest of the rows' keys and versions; equal for equal rows. */
  get digest(): string {
    return this.#digest;
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

  /** Replaces the rows by a peer's copy if that is newer. */
  mergeCopy(copy: { version: number; rows: readonly FeedRow[] }): void {
    if (copy.version > this.#version) {
      this.#replaceRows(copy);
    }
  }

  /** Replicates the table until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const pollAbort = new ChildAbort(signal);
      this.#pollAbort = pollAbort;
      const isSuccess = await this.#poll(pollAbort.signal);
      const wasInterrupted = pollAbort.signal.aborted;
      pollAbort.abort();
      this.#pollAbort = undefined;
      if (!isSuccess && !wasInterrupted) {
        await this.#options.clock.sleep(this.#computeBackoff(), signal);
      }
    }
  }

  async #poll(signal: AbortSignal): Promise<boolean> {
    const sent = this.freshness.readClocks();
    const isSuccess = this.#version < 0
      ? await this.#readAll(signal)
      : await this.#readChanges(signal);
    if (isSuccess) {
      this.freshness.confirm(sent);
    }
    return isSuccess;
  }

  async #readAll(signal: AbortSignal): Promise<boolean> {
    const { feed, table } = this.#options;
    const snapshot = await feed.readTable(table, signal);
    if (snapshot.isErr()) {
      this.#recordFailure(snapshot.error.message, signal);
      return false;
    }
    this.#recordSuccess();
    this.#replaceRows(snapshot.value);
    return true;
  }

  async #readChanges(signal: AbortSignal): Promise<boolean> {
    const { feed, table } = this.#options;
    const waitMilliseconds = this.#isRefreshRequested
      ? 0
      : this.#options.waitMilliseconds;
    this.#isRefreshRequested = false;
    const position = { table, version: this.#version, waitMilliseconds };
    const changes = await feed.waitForChanges(position, signal);
    if (changes.isErr()) {
      this.#handleFailure(changes.error.kind, changes.error.message, signal);
      return false;
    }
    this.#recordSuccess();
    for (const { key, row } of changes.value.changes) {
      this.#applyRow(key, row);
    }
    if (changes.value.changes.length > 0) {
      this.#updateDigest();
    }
    this.#version = Math.max(this.#version, changes.value.version);
    return true;
  }

  #handleFailure(
    kind: PlatformErrorKind,
    reason: string,
    signal: AbortSignal,
  ): void {
    if (kind !== PlatformErrorKind.HistoryGone) {
      this.#recordFailure(reason, signal);
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

  #replaceRows(
    copy: { version: number; rows: readonly FeedRow[] },
  ): void {
    const presentKeys = new Set<string>();
    for (const row of copy.rows) {
      presentKeys.add(row.key);
      this.#applyRow(row.key, row);
    }
    for (const key of [...this.#rows.keys()]) {
      if (!presentKeys.has(key)) {
        this.#applyRow(key, undefined);
      }
    }
    this.#version = copy.version;
    this.#updateDigest();
  }

  #applyRow(key: string, row: FeedRow | undefined): void {
    const previous = this.#rows.get(key);
    if (row === undefined) {
      if (this.#rows.delete(key)) {
        this.changes.emit({ key, value: undefined });
      }
      return;
    }
    if (previous !== undefined && previous.version >= row.version) {
      return;
    }
    this.#rows.set(key, row);
    this.changes.emit({ key, value: row.value });
  }

  #updateDigest(): void {
    const hash = createHash("sha256");
    for (const key of [...this.#rows.keys()].sort()) {
      hash.update(`${key}\n${this.#rows.get(key)?.version}\n`);
    }
    this.#digest = hash.digest("hex").slice(0, DIGEST_CHARACTERS);
  }

  #recordSuccess(): void {
    this.#consecutiveFailures = 0;
    if (this.#connected) {
      return;
    }
    this.#connected = true;
    this.#options.logger.info("store is available again", {
      table: this.#options.table,
    });
    this.connectivityChanges.emit({ connected: true });
  }

  #recordFailure(reason: string, signal: AbortSignal): void {
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
      reason,
    });
    this.connectivityChanges.emit({ connected: false });
  }

  #computeBackoff(): number {
    return Math.min(
      MAX_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS *
        2 ** Math.min(this.#consecutiveFailures, 10),
    );
  }
}
