/** Interface of tables whose changes can be watched. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A row of a watched table. */
export interface FeedRow {
  key: string;
  /** Increases with every transaction of the store. */
  version: number;
  value: Uint8Array;
}

/** All rows of a table at one point in time. */
export interface TableSnapshot {
  rows: FeedRow[];
  /** The latest version of the store when the snapshot was taken. */
  version: number;
  /**
   * How often the store has come back from a copy. Versions of different eras
   * cannot be compared: an older version is given out again in a later era.
   */
  era: number;
}

/** The write or removal of one row. */
export interface FeedChange {
  key: string;
  /** Undefined for a row that was removed. */
  row: FeedRow | undefined;
}

/** The changes after a version. */
export interface TableChanges {
  changes: FeedChange[];
  /** The version to continue from. */
  version: number;
  /** The era of that version; changes of another era do not follow on. */
  era: number;
}

/** What to wait for, and how. */
export interface FeedPosition {
  table: string;
  /** Changes after this version are returned. */
  version: number;
  waitMilliseconds: number;
  /** Uses no connection that was open before, since these may be silent. */
  usesNewConnection?: boolean;
}

/** One row with its new value. */
export interface FeedWrite {
  table: string;
  key: string;
  value: Uint8Array;
}

/** A row that must be at this version; 0 if it must not exist. */
export interface FeedCondition {
  table: string;
  key: string;
  version: number;
}

/** Rows that are written together, if all conditions hold. */
export interface ConditionalWrite {
  conditions: readonly FeedCondition[];
  rows: readonly FeedWrite[];
}

/** Reads tables and waits for their changes. */
export abstract class TableFeed {
  /** Reads a complete table. */
  abstract readTable(
    table: string,
    signal: AbortSignal,
  ): Promise<Result<TableSnapshot, PlatformError>>;

  /**
   * Waits up to `waitMilliseconds` for changes after a version. Fails with
   * HistoryGone when the store no longer retains the changes after that version.
   */
  abstract waitForChanges(
    position: FeedPosition,
    signal: AbortSignal,
  ): Promise<Result<TableChanges, PlatformError>>;

  /** Writes one row unconditionally. */
  abstract writeRow(
    row: FeedWrite,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;

  /**
   * Writes all rows or none. Fails with Conflict when a condition does not hold;
   * after OutcomeUnknown, the rows may be written later as long as all hold.
   */
  abstract writeRowsIf(
    write: ConditionalWrite,
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;

  /** Removes one row; succeeds if it does not exist. */
  abstract removeRow(
    row: { table: string; key: string },
    signal: AbortSignal,
  ): Promise<Result<void, PlatformError>>;
}
