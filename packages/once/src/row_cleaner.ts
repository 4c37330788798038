/** Removes the rows of keys whose time is over. */

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

/** Settings of a cleaner. */
export interface RowCleanerOptions {
  table: TableService;
  objects: ObjectStore;
  writer: RowWriter;
  clock: Clock;
  logger: Logger;
  /** Whether this VM is the one that cleans up now. */
  isCleaner: () => boolean;
  /** The pause between two pages of rows. */
  pageMilliseconds: number;
  /** The pause between two walks over all rows. */
  walkMilliseconds: number;
}

/** Walks slowly over all rows; two cleaners at once do no harm. */
export class RowCleaner {
  readonly #options: RowCleanerOptions;

  constructor(options: RowCleanerOptions) {
    this.#options = options;
  }

  /** Cleans up until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, walkMilliseconds } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(walkMilliseconds, signal);
      await this.runOnce(signal);
    }
  }

  /** Walks over all rows once, or until this VM is not the cleaner. */
  async runOnce(signal: AbortSignal): Promise<void> {
    await this.#walk(
      CALL_ROW_PREFIX,
      (row) => this.#cleanCall(row, signal),
      signal,
    );
    await this.#walk(
      WRITER_ROW_PREFIX,
      (row) => this.#cleanMarker(row, signal),
      signal,
    );
  }

  async #walk(
    prefix: string,
    clean: (row: TableRow) => Promise<void>,
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
        logger.warn("rows of keys cannot be listed", {
          reason: page.error.message,
        });
        return;
      }
      await Promise.all(page.value.map(clean));
      const last = page.value.at(-1);
      if (last === undefined || page.value.length < PAGE_ROWS) {
        return;
      }
      afterKey = last.key;
      await clock.sleep(this.#options.pageMilliseconds, signal);
    }
  }

  async #cleanCall(tableRow: TableRow, signal: AbortSignal): Promise<void> {
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
      const { result: _dropped, resultUntil: _passed, ...kept } = row;
      const expired = { ...kept, state: CallRowState.Expired };
      await this.#write(tableRow, encodeCallRow(expired), signal);
      await this.#deleteResult(row, signal);
    }
  }

  async #cleanMarker(row: TableRow, signal: AbortSignal): Promise<void> {
    const age = this.#options.clock.wallTime() - Number(row.value);
    if (age >= MARKER_RETENTION_MILLISECONDS) {
      await this.#write(row, undefined, signal);
    }
  }

  /** A row that has changed since it was read is left for the next walk. */
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
