/** Writes into a key's row how its call ended. */

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

const MOST_TRIES = 8;
const BACKOFF: BackoffOptions = {
  initialMilliseconds: 200,
  maximumMilliseconds: 10_000,
};

/** What a recorder works with. */
export interface ResultRecorderOptions {
  claims: RowClaims;
  writer: RowWriter;
  results: ResultStore;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** How long a kept result stays in the row. */
  resultRetentionMilliseconds: number;
}

/** A row that this process owns. */
export interface OwnedRow {
  key: string;
  row: CallRow;
  version: number;
}

const ENDED_STATES = {
  [ExecutionKind.Answered]: CallRowState.Answered,
  [ExecutionKind.NotRun]: CallRowState.NotRun,
  [ExecutionKind.Unknown]: CallRowState.Unknown,
};

/** Records ends of calls; tries again while the platform is down. */
export class ResultRecorder {
  readonly #options: ResultRecorderOptions;

  constructor(options: ResultRecorderOptions) {
    this.#options = options;
  }

  /** Resolves with whether the row tells the call's end. */
  async record(
    owned: OwnedRow,
    execution: Execution,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, random, logger } = this.#options;
    const row = await this.#createEndedRow(owned.row, execution, signal);
    for (let attempt = 0; attempt < MOST_TRIES; attempt++) {
      const settled = await this.#writeOnce(owned, row, signal);
      if (settled !== undefined) {
        return settled;
      }
      const delay = computeBackoff(attempt, { ...BACKOFF, random });
      await clock.sleep(delay, signal);
    }
    logger.warn("the end of a call could not be recorded", {
      attempt: row.attempt,
      state: row.state,
    });
    return false;
  }

  async #createEndedRow(
    row: CallRow,
    execution: Execution,
    signal: AbortSignal,
  ): Promise<CallRow> {
    const { results, clock, resultRetentionMilliseconds } = this.#options;
    const ended = { ...row, state: ENDED_STATES[execution.kind] };
    if (execution.kind !== ExecutionKind.Answered) {
      return ended;
    }
    const resultUntil = clock.wallTime() + resultRetentionMilliseconds;
    const result = await results.write(execution, row.attempt, signal);
    return { ...ended, result, resultUntil };
  }

  /** Undefined when it is to be tried again. */
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
    // The row has moved on, most likely by an earlier try of this write.
    const found = await this.#options.claims.read(key, signal);
    if (found.isErr()) {
      return undefined;
    }
    const now = found.value?.row;
    return now?.attempt === row.attempt && now.state === row.state;
  }
}
