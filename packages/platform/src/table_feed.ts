/** Contract of tables whose changes can be followed. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A row of a followed table. */
export interface FeedRow {
  key: string;
  /** Rises with every transaction of the store. */
  version: number;
  value: Uint8Array;
}

/** All rows of a table at one moment. */
export interface TableSnapshot {
  rows: FeedRow[];
  /** The newest version of the store at that moment. */
  version: number;
}

/** A row that was written, or removed. */
export interface FeedChange {
  key: string;
  /** Undefined for a row that was removed. */
  row: FeedRow | undefined;
}

/** What changed since a version. */
export interface TableChanges {
  changes: FeedChange[];
  /** From where to go on. */
  version: number;
}

/** Reads tables and waits for their changes. */
export abstract class TableFeed {
  /** Reads a whole table. */
  abstract readTable(
    table: string,
    signal: AbortSignal,
  ): Promise<Result<TableSnapshot, PlatformError>>;

  /**
   * Waits up to `waitMilliseconds` for changes after a version. Fails with
   * HistoryGone when the store no longer knows what came after it.
   */
  abstract waitForChanges(
    position: { table: string; version: number; waitMilliseconds: number },
    signal: AbortSignal,
  ): Promise<Result<TableChanges, PlatformError>>;

  /** Writes one row, whatever it held. */
  abstract writeRow(
    row: { table: string; key: string; value: Uint8Array },
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;

  /** Removes one row; it is no error when there is none. */
  abstract removeRow(
    row: { table: string; key: string },
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;
}
