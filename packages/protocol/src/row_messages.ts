/** Messages that pass table rows to the VM that writes them for others. */

import type { MessageKind } from "./message_kind.ts";

/** Asks a collector to write one row. */
export interface WriteRowMessage {
  kind: MessageKind.WriteRow;
  /** Matches the result to this message; unique at the sender. */
  correlation: string;
  key: string;
  /** The version that the row must have; 0 when it must be absent. */
  version: number;
  /** The new value; undefined deletes the row. */
  value?: string;
}

/** What became of a row. */
export enum RowOutcome {
  Written = "written",
  /** Its condition did not hold; it was not written. */
  Conflict = "conflict",
  /** The platform could not take it; it was not written. */
  NotWritten = "notWritten",
  /** It may have been written. */
  Unknown = "unknown",
}

/** The result of a row that was passed on. */
export interface RowResultMessage {
  kind: MessageKind.RowResult;
  correlation: string;
  outcome: RowOutcome;
  /** The row's new version; only when written. */
  version: number;
}
