/** In-memory table feed that simulates store failures. */

import { once } from "node:events";
import {
  type ConditionalWrite,
  type FeedChange,
  type FeedPosition,
  type FeedRow,
  PlatformError,
  PlatformErrorKind,
  type TableChanges,
  TableFeed,
  type TableSnapshot,
} from "@rattanvane/platform";
import { ChildAbort, type Clock, SystemClock } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";

/** One write or removal. */
export interface HistoryEntry extends FeedChange {
  table: string;
  version: number;
}

/** The tables of a {@link MemoryFeed} at one point in time. */
export interface MemoryFeedCopy {
  tables: readonly (readonly [string, ReadonlyMap<string, FeedRow>])[];
  history: readonly HistoryEntry[];
  version: number;
}

/** Keeps tables and their change history in memory, for tests. */
export class MemoryFeed extends TableFeed {
  #isDown = false;
  #isHanging = false;
  /** While set, polls are only answered on new connections. */
  isSilent = false;
  /** While set, conditional writes are done, but not confirmed. */
  losesAnswers = false;
  /** Number of calls made through the feed contract. */
  calls = 0;
  /** The part of them that read a whole table, and that wrote a row. */
  tableReads = 0;
  rowWrites = 0;
  readonly #clock: Clock;
  /** Ends the waits of long polls. */
  readonly #waits = new Set<ChildAbort>();
  readonly #tables = new Map<string, Map<string, FeedRow>>();
  #history: HistoryEntry[] = [];
  #version = 0;
  #era = 0;
  #truncatedAtVersion = 0;

  /** Creates an empty feed whose long polls last as long as the clock says. */
  constructor(clock: Clock = new SystemClock()) {
    super();
    this.#clock = clock;
  }

  /** While set, every call fails as unavailable. */
  get isDown(): boolean {
    return this.#isDown;
  }

  set isDown(isDown: boolean) {
    this.#isDown = isDown;
    this.#endWaits();
  }

  /** While set, no poll is answered; it is afterwards. */
  set isHanging(isHanging: boolean) {
    this.#isHanging = isHanging;
    this.#endWaits();
  }

  /** Writes a row directly, even while the feed is down. */
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
    this.#endWaits();
  }

  /** Removes a row directly, even while the feed is down. */
  remove(table: string, key: string): void {
    this.#version++;
    this.#findTable(table).delete(key);
    this.#history.push({ table, version: this.#version, key, row: undefined });
    this.#endWaits();
  }

  /** Reads a row's text directly; undefined if there is none. */
  find(table: string, key: string): string | undefined {
    const row = this.#tables.get(table)?.get(key);
    return row === undefined ? undefined : new TextDecoder().decode(row.value);
  }

  /** Takes a copy of all tables, to which {@link restore} can go back. */
  copy(): MemoryFeedCopy {
    const tables = [...this.#tables].map(([table, rows]) =>
      [table, new Map(rows)] as const
    );
    return { tables, history: [...this.#history], version: this.#version };
  }

  /** Goes back to a copy: what was written since is gone, in a new era. */
  restore({ tables, history, version }: MemoryFeedCopy): void {
    this.#tables.clear();
    for (const [table, rows] of tables) {
      this.#tables.set(table, new Map(rows));
    }
    this.#history = [...history];
    this.#version = version;
    this.#era++;
    this.#endWaits();
  }

  /** Discards the change history; reads from older versions fail. */
  truncateHistory(): void {
    this.#history = [];
    this.#truncatedAtVersion = this.#version;
    this.#endWaits();
  }

  override readTable(
    table: string,
  ): Promise<Result<TableSnapshot, PlatformError>> {
    this.calls++;
    this.tableReads++;
    if (this.#isDown) {
      return Promise.resolve(err(createUnavailableError()));
    }
    const rows = [...this.#findTable(table).values()];
    return Promise.resolve(
      ok({ rows, version: this.#version, era: this.#era }),
    );
  }

  override async waitForChanges(
    position: FeedPosition,
    signal: AbortSignal,
  ): Promise<Result<TableChanges, PlatformError>> {
    this.calls++;
    const endsAt = this.#clock.now() + position.waitMilliseconds;
    const isOnOpenConnection = position.usesNewConnection !== true;
    if (this.isSilent && isOnOpenConnection && !signal.aborted) {
      await once(signal, "abort");
    }
    for (;;) {
      if (this.#isDown) {
        return err(createUnavailableError());
      }
      const isUnknown = position.version < this.#truncatedAtVersion ||
        this.#era > 0 && position.version > this.#version;
      if (isUnknown) {
        const message = "The change history is no longer available";
        return err(new PlatformError(PlatformErrorKind.HistoryGone, message));
      }
      const changes = this.#history.filter((change) =>
        change.table === position.table && change.version > position.version
      );
      const hasExpired = this.#clock.now() >= endsAt;
      const isDue = !this.#isHanging && (changes.length > 0 || hasExpired);
      if (isDue || signal.aborted) {
        return ok({ changes, version: this.#version, era: this.#era });
      }
      const wait = new ChildAbort(signal);
      this.#waits.add(wait);
      if (this.#isHanging) {
        await once(wait.signal, "abort");
      } else {
        await this.#clock.sleep(endsAt - this.#clock.now(), wait.signal);
      }
      this.#waits.delete(wait);
      wait.abort();
    }
  }

  override writeRow(
    row: { table: string; key: string; value: Uint8Array },
  ): Promise<Result<void, PlatformError>> {
    this.calls++;
    this.rowWrites++;
    if (this.#isDown) {
      return Promise.resolve(err(createUnavailableError()));
    }
    this.put(row.table, row.key, new TextDecoder().decode(row.value));
    return Promise.resolve(ok());
  }

  override writeRowsIf(
    { conditions, rows }: ConditionalWrite,
  ): Promise<Result<void, PlatformError>> {
    this.calls++;
    this.rowWrites++;
    if (this.#isDown) {
      return Promise.resolve(err(createUnavailableError()));
    }
    const areMet = conditions.every(({ table, key, version }) =>
      (this.#findTable(table).get(key)?.version ?? 0) === version
    );
    if (!areMet) {
      const message = "A row has another version";
      return Promise.resolve(
        err(new PlatformError(PlatformErrorKind.Conflict, message)),
      );
    }
    for (const { table, key, value } of rows) {
      this.put(table, key, new TextDecoder().decode(value));
    }
    if (this.losesAnswers) {
      const message = "The answer was lost";
      return Promise.resolve(
        err(new PlatformError(PlatformErrorKind.OutcomeUnknown, message)),
      );
    }
    return Promise.resolve(ok());
  }

  override removeRow(
    row: { table: string; key: string },
  ): Promise<Result<void, PlatformError>> {
    this.calls++;
    if (this.#isDown) {
      return Promise.resolve(err(createUnavailableError()));
    }
    this.remove(row.table, row.key);
    return Promise.resolve(ok());
  }

  #endWaits(): void {
    for (const wait of this.#waits) {
      wait.abort();
    }
  }

  #findTable(table: string): Map<string, FeedRow> {
    const rows = this.#tables.get(table) ?? new Map<string, FeedRow>();
    this.#tables.set(table, rows);
    return rows;
  }
}

function createUnavailableError(): PlatformError {
  const message = "The store is unavailable";
  return new PlatformError(PlatformErrorKind.Unavailable, message);
}
