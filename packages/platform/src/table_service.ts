/** Interface of the platform's transactional table. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A row as stored in the table. */
export interface TableRow {
  key: string;
  /** Increases with every write of the row; starts at 1. */
  version: number;
  /** JSON text. */
  value: string;
}

/** The precondition on a row for a transaction to write it. */
export enum WriteConditionKind {
  Absent = "absent",
  AtVersion = "atVersion",
  Always = "always",
}

/** A precondition on a row. */
export type WriteCondition =
  | { kind: WriteConditionKind.Absent }
  | { kind: WriteConditionKind.AtVersion; version: number }
  | { kind: WriteConditionKind.Always };

/** The write of one row in a transaction. */
export interface RowWrite {
  key: string;
  condition: WriteCondition;
  /** The new value; undefined deletes the row. */
  value: string | undefined;
}

/** A row after its write, with its new version; 0 if it was deleted. */
export interface WrittenRow {
  key: string;
  version: number;
}

/** Selects the rows that a range read returns. */
export interface RangeQuery {
  prefix: string;
  /** Returns only keys that sort after this one. */
  afterKey?: string;
  /** The maximum number of rows to return. */
  limit: number;
}

/** A transactional table of small rows. */
export abstract class TableService {
  /** Reads a row; undefined if it does not exist. */
  abstract read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<TableRow | undefined, PlatformError>>;

  /** Reads rows in ascending order of their keys. */
  abstract readRange(
    query: RangeQuery,
    signal: AbortSignal,
  ): Promise<Result<TableRow[], PlatformError>>;

  /**
   * Writes all rows or none. Fails with Conflict when a condition does not
   * hold, and with OutcomeUnknown when the response was lost.
   */
  abstract write(
    writes: readonly RowWrite[],
    signal: AbortSignal,
  ): Promise<Result<WrittenRow[], PlatformError>>;
}
