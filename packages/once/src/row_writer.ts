/** Writes single rows; several may share a transaction. */

import type {
  PlatformError,
  RowWrite,
  WriteCondition,
  WriteConditionKind,
  WrittenRow,
} from "@rattanvane/platform";
import type { Result } from "neverthrow";

/** A conditional write; an unconditional one could undo a neighbour's. */
export interface ConditionalWrite extends RowWrite {
  condition: Exclude<WriteCondition, { kind: WriteConditionKind.Always }>;
}

/** Writes rows one by one for their callers, together for the platform. */
export abstract class RowWriter {
  /**
   * Writes a row. Fails like the table: with Conflict when this row's own
   * condition did not hold, and with OutcomeUnknown when that is not known.
   */
  abstract write(
    write: ConditionalWrite,
    signal: AbortSignal,
  ): Promise<Result<WrittenRow, PlatformError>>;
}
