/** Writes single rows, of which several may share a transaction. */

import type {
  PlatformError,
  RowWrite,
  WriteCondition,
  WriteConditionKind,
  WrittenRow,
} from "@rattanvane/platform";
import type { Result } from "neverthrow";

/**
 * A conditional write. Unconditional writes are excluded: they could overwrite a
 * concurrent write to the same row.
 */
export interface ConditionalWrite extends RowWrite {
  condition: Exclude<WriteCondition, { kind: WriteConditionKind.Always }>;
}

/** Accepts writes of single rows and may batch them into transactions. */
export abstract class RowWriter {
  /**
   * Writes a row. Fails with the table's errors: with Conflict when the condition
   * of this row did not hold, and with OutcomeUnknown when it is not known whether
   * the row was written.
   */
  abstract write(
    write: ConditionalWrite,
    signal: AbortSignal,
  ): Promise<Result<WrittenRow, PlatformError>>;
}
