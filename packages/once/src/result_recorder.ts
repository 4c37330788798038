/** Records the outcome of a call in its key's row. */

import {
  type BackoffOptions,
  type Clock,
  computeBackoff,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import { PlatformErrorKind, WriteConditionKind } from "@rattanvane/platform";
import { type CallRow, CallRowState, encodeCallRow } from "./call_row.ts";
import { type Execution, ExecutionKind } from "./execution.ts";
import type { ResultStore } from "./result_store.ts";
import type { RowClaims } from "./row_claim.ts";
import type { RowWriter } from "./row_writer.ts";

const MAXIMUM_WRITE_ATTEMPTS = 8;
const BACKOFF: BackoffOptions = {
  initialMilliseconds: 200,
  maximumMilliseconds: 10_000,
};

/** Dependencies and settings of a {@link ResultRecorder}. */
export interface ResultRecorderOptions {
  claims: RowClaims;
  writer: RowWriter;
  results: ResultStore;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** How long a recorded result is retained. */
  resultRetentionMilliseconds: number;
}

/** A row that this process owns. */
export interface OwnedRow {
  key: string;
  row: CallRow;
  version: number;
}

const FINAL_STATES = {
  [ExecutionKind.Answered]: CallRowState.Answered,
  [ExecutionKind.NotRun]: CallRowState.NotRun,
  [ExecutionKind.Unknown]: CallRowState.Unknown,
};

/** Records the outcomes of calls; retries while the platform is unavailable. */
export class ResultRecorder {
  readonly #options: ResultRecorderOptions;

  constructor(options: ResultRecorderOptions) {
    this.#options = options;
  }

  /** Records an outcome; resolves with whether the row contains it. */
  async record(
    owned: OwnedRow,
    execution: Execution,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, random, logger } = this.#options;
    const row = await this.#createFinalRow(owned.row, execution, signal);
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const isRecorded = await this.#writeOnce(owned, row, signal);
      if (isRecorded !== undefined) {
        return isRecorded;
      }
      const delay = computeBackoff(attempt, { ...BACKOFF, random });
      await clock.sleep(delay, signal);
    }
    logger.warn("the outcome of a call could not be recorded", {
      attempt: row.attempt,
      state: row.state,
    });
    return false;
  }

  async #createFinalRow(
    row: CallRow,
    execution: Execution,
    signal: AbortSignal,
  ): Promise<CallRow> {
    const { results, clock, resultRetentionMilliseconds } = this.#options;
    const final = { ...row, state: FINAL_STATES[execution.kind] };
    if (execution.kind !== ExecutionKind.Answered) {
      return final;
    }
    const resultUntil = clock.wallTime() + resultRetentionMilliseconds;
    const result = await results.write(execution, row.attempt, signal);
    return { ...final, result, resultUntil };
  }

  /** Resolves with undefined when the write has to be retried. */
  async #writeOnce(
    owned: OwnedRow,
    row: CallRow,
    signal: AbortSignal,
  ): Promise<boolean | undefined> {
    const { key, version } = owned;
    const written = await this.#options.writer.write({
      key,
      condition: { kind: WriteConditionKind.AtVersion, version },
      value: encodeCallRow(row),
    }, signal);
    if (written.isOk()) {
      return true;
    }
    if (written.error.kind !== PlatformErrorKind.Conflict) {
      return undefined;
    }
    // The row's version has changed, most likely by an earlier attempt of this
    // write whose answer was lost.
    const found = await this.#options.claims.read(key, signal);
    if (found.isErr()) {
      return undefined;
    }
    const current = found.value?.row;
    return current?.attempt === row.attempt && current.state === row.state;
  }
}
