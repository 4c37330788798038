/** Removes expired results, rows of keys and marker rows. */

import type { Clock, Logger } from "@rattanvane/base";
import {
  type ObjectStore,
  type TableRow,
  type TableService,
  WriteConditionKind,
} from "@rattanvane/platform";
import { CALL_ROW_PREFIX } from "./caller_key.ts";
import {
  type CallRow,
  CallRowState,
  decodeCallRow,
  encodeCallRow,
  ResultPlace,
} from "./call_row.ts";
import { WRITER_ROW_PREFIX } from "./local_row_writer.ts";
import type { RowWriter } from "./row_writer.ts";

const PAGE_ROWS = 500;
const MARKER_RETENTION_MILLISECONDS = 24 * 60 * 60 * 1_000;

/** Dependencies and settings of a {@link RowCleaner}. */
export interface RowCleanerOptions {
  table: TableService;
  objects: ObjectStore;
  writer: RowWriter;
  clock: Clock;
  logger: Logger;
  /** Whether this VM is currently the cleaner of the fleet. */
  isCleaner: () => boolean;
  /** The pause between two pages of rows. */
  pagePauseMilliseconds: number;
  /** The pause between two scans of all rows. */
  scanPauseMilliseconds: number;
}

/**
 * Scans all rows at a limited rate and removes the expired ones. Concurrent
 * cleaners are safe, since a row is only written at the version that was read.
 */
export class RowCleaner {
  readonly #options: RowCleanerOptions;

  constructor(options: RowCleanerOptions) {
    this.#options = options;
  }

  /** Scans all rows periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, scanPauseMilliseconds } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(scanPauseMilliseconds, signal);
      await this.runOnce(signal);
    }
  }

  /** Scans all rows once; stops early when this VM is no longer the cleaner. */
  async runOnce(signal: AbortSignal): Promise<void> {
    await this.#scan(
      CALL_ROW_PREFIX,
      (row) => this.#removeExpiredCall(row, signal),
      signal,
    );
    await this.#scan(
      WRITER_ROW_PREFIX,
      (row) => this.#removeExpiredMarker(row, signal),
      signal,
    );
  }

  async #scan(
    prefix: string,
    removeExpired: (row: TableRow) => Promise<void>,
    signal: AbortSignal,
  ): Promise<void> {
    const { table, clock, isCleaner, logger } = this.#options;
    let afterKey = "";
    while (isCleaner() && !signal.aborted) {
      const page = await table.readRange(
        { prefix, limit: PAGE_ROWS, ...(afterKey === "" ? {} : { afterKey }) },
        signal,
      );
      if (page.isErr()) {
        logger.warn(
          "rows to clean up could not be listed; retrying with the next scan",
          {
            reason: page.error.message,
          },
        );
        return;
      }
      await Promise.all(page.value.map(removeExpired));
      const last = page.value.at(-1);
      if (last === undefined || page.value.length < PAGE_ROWS) {
        return;
      }
      afterKey = last.key;
      await clock.sleep(this.#options.pagePauseMilliseconds, signal);
    }
  }

  async #removeExpiredCall(
    tableRow: TableRow,
    signal: AbortSignal,
  ): Promise<void> {
    const row = decodeCallRow(tableRow.value);
    if (row === undefined) {
      return;
    }
    const now = this.#options.clock.wallTime();
    if (now >= row.removableAt) {
      await this.#write(tableRow, undefined, signal);
      await this.#deleteResult(row, signal);
      return;
    }
    if (row.resultUntil !== undefined && now >= row.resultUntil) {
      const { result: _result, resultUntil: _resultUntil, ...retained } = row;
      const expired = { ...retained, state: CallRowState.Expired };
      await this.#write(tableRow, encodeCallRow(expired), signal);
      await this.#deleteResult(row, signal);
    }
  }

  async #removeExpiredMarker(
    row: TableRow,
    signal: AbortSignal,
  ): Promise<void> {
    const age = this.#options.clock.wallTime() - Number(row.value);
    if (age >= MARKER_RETENTION_MILLISECONDS) {
      await this.#write(row, undefined, signal);
    }
  }

  /** Leaves a row that has changed since it was read to the next scan. */
  async #write(
    { key, version }: TableRow,
    value: string | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const condition = { kind: WriteConditionKind.AtVersion, version } as const;
    await this.#options.writer.write({ key, condition, value }, signal);
  }

  async #deleteResult(row: CallRow, signal: AbortSignal): Promise<void> {
    if (row.result?.place === ResultPlace.Object) {
      await this.#options.objects.delete(row.result.name, signal);
    }
  }
}
