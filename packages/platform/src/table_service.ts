/** Contract of the platform's transactional table. */

import type { Result } from "neverthrow";
import type { PlatformError } from "./platform_error.ts";

/** A row as the table holds it. */
export interface TableRow {
  key: string;
  /** Rises with every write of the row; starts at 1. */
  version: number;
  /** JSON text. */
  value: string;
}

/** What must hold of a row before a transaction writes it. */
export enum WriteConditionKind {
  Absent = "absent",
  AtVersion = "atVersion",
  Always = "always",
}

/** A condition on a row. */
export type WriteCondition =
  | { kind: WriteConditionKind.Absent }
  | { kind: WriteConditionKind.AtVersion; version: number }
  | { kind: WriteConditionKind.Always };

/** One row of a transaction. */
export interface RowWrite {
  key: string;
  condition: WriteCondition;
  /** The new value; undefined deletes the row. */
  value: string | undefined;
}

/** The version that a written row now has; 0 for a deleted one. */
export interface WrittenRow {
  key: string;
  version: number;
}

/** Which rows a range read returns. */
export interface RangeQuery {
  prefix: string;
  /** Only keys that sort after this one. */
  afterKey?: string;
  /** The most rows to return. */
  limit: number;
}

/** A transactional table of small rows. */
export abstract class TableService {
  /** Reads a row; undefined when there is none. */
  abstract read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<TableRow | undefined, PlatformError>>;

  /** Reads rows in the order of their keys. */
  abstract readRange(
    query: RangeQuery,
    signal: AbortSignal,
  ): Promise<Result<TableRow[], PlatformError>>;

  /**
   * Writes all rows or none. Fails with Conflict when a condition does not
   * hold, and with OutcomeUnknown when the answer was lost.
   */
  abstract write(
    writes: readonly RowWrite[],
    signal: AbortSignal,
  ): Promise<Result<WrittenRow[], PlatformError>>;
}
