/** Messages that forward table rows to the VM that writes them for other VMs. */

import type { MessageKind } from "./message_kind.ts";

/** Requests that a collector write one row. */
export interface WriteRowMessage {
  kind: MessageKind.WriteRow;
  /** Correlates the result with this request; unique at the sender. */
  correlation: string;
  key: string;
  /** The expected current version; 0 when the row must not exist. */
  version: number;
  /** The new value; undefined deletes the row. */
  value?: string;
}

/** The outcome of a row write. */
export enum RowOutcome {
  Written = "written",
  /** The expected version did not match; the row was not written. */
  Conflict = "conflict",
  /** The platform could not accept the write; the row was not written. */
  NotWritten = "notWritten",
  /** The row may have been written. */
  Unknown = "unknown",
}

/** The result of a forwarded row write. */
export interface RowResultMessage {
  kind: MessageKind.RowResult;
  correlation: string;
  outcome: RowOutcome;
  /** The row's new version; valid only for `Written`. */
  version: number;
}
