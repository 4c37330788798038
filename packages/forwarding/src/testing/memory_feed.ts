/** A followed table in memory, with the faults of a store. */

import {
  type FeedChange,
  type FeedRow,
  PlatformError,
  PlatformErrorKind,
  type TableChanges,
  TableFeed,
  type TableSnapshot,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";

const STEP_MILLISECONDS = 2;

interface LoggedChange extends FeedChange {
  table: string;
  version: number;
}

/** Holds tables and their history for tests. */
export class MemoryFeed extends TableFeed {
  /** Every call fails while this is set. */
  isDown = false;
  /** Calls that were made. */
  calls = 0;
  readonly #tables = new Map<string, Map<string, FeedRow>>();
  #history: LoggedChange[] = [];
  #version = 0;
  #oldest = 0;

  /** Writes a row as its owner does. */
  put(table: string, key: string, value: object | string): void {
    this.#version++;
    const text = typeof value === "string" ? value : JSON.stringify(value);
    const row = {
      key,
      version: this.#version,
      value: new TextEncoder().encode(text),
    };
    this.#findTable(table).set(key, row);
    this.#history.push({ table, version: this.#version, key, row });
  }

  /** Removes a row as its owner does. */
  drop(table: string, key: string): void {
    this.#version++;
    this.#findTable(table).delete(key);
    this.#history.push({ table, version: this.#version, key, row: undefined });
  }

  /** Forgets how the rows came to be what they are. */
  forgetHistory(): void {
    this.#history = [];
    this.#oldest = this.#version;
  }

  override readTable(
    table: string,
  ): Promise<Result<TableSnapshot, PlatformError>> {
    this.calls++;
    if (this.isDown) {
      return Promise.resolve(err(createOutage()));
    }
    const rows = [...this.#findTable(table).values()];
    return Promise.resolve(ok({ rows, version: this.#version }));
  }

  override async waitForChanges(
    position: { table: string; version: number; waitMilliseconds: number },
    signal: AbortSignal,
  ): Promise<Result<TableChanges, PlatformError>> {
    this.calls++;
    const endsAt = performance.now() + position.waitMilliseconds;
    for (;;) {
      if (this.isDown) {
        return err(createOutage());
      }
      if (position.version < this.#oldest) {
        const problem = "The history is gone";
        return err(new PlatformError(PlatformErrorKind.HistoryGone, problem));
      }
      const changes = this.#history.filter((change) =>
        change.table === position.table && change.version > position.version
      );
      const isOver = performance.now() >= endsAt || signal.aborted;
      if (changes.length > 0 || isOver) {
        return ok({ changes, version: this.#version });
      }
      await new Promise((resolve) => setTimeout(resolve, STEP_MILLISECONDS));
    }
  }

  override writeRow(
    row: { table: string; key: string; value: Uint8Array },
  ): Promise<Result<void, PlatformError>> {
    this.calls++;
    if (this.isDown) {
      return Promise.resolve(err(createOutage()));
    }
    this.put(row.table, row.key, new TextDecoder().decode(row.value));
    return Promise.resolve(ok());
  }

  override removeRow(
    row: { table: string; key: string },
  ): Promise<Result<void, PlatformError>> {
    this.calls++;
    if (this.isDown) {
      return Promise.resolve(err(createOutage()));
    }
    this.drop(row.table, row.key);
    return Promise.resolve(ok());
  }

  #findTable(table: string): Map<string, FeedRow> {
    const rows = this.#tables.get(table) ?? new Map<string, FeedRow>();
    this.#tables.set(table, rows);
    return rows;
  }
}

function createOutage(): PlatformError {
  const problem = "The store does not answer";
  return new PlatformError(PlatformErrorKind.Unavailable, problem);
}
