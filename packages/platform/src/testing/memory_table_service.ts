/** A table in memory, for tests. */

import { err, ok, type Result } from "neverthrow";
import { PlatformError, PlatformErrorKind } from "../platform_error.ts";
import {
  type RangeQuery,
  type RowWrite,
  type TableRow,
  TableService,
  WriteConditionKind,
  type WrittenRow,
} from "../table_service.ts";
import type { PlatformFaults } from "./platform_faults.ts";

const MOST_WRITES_IN_A_TRANSACTION = 100;

/** Keeps rows in memory; fails as its switches say. */
export class MemoryTableService extends TableService {
  readonly faults: PlatformFaults;
  #rows = new Map<string, TableRow>();

  constructor(faults: PlatformFaults) {
    super();
    this.faults = faults;
  }

  override read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<TableRow | undefined, PlatformError>> {
    return this.faults.read(() => this.#rows.get(key), signal);
  }

  override readRange(
    query: RangeQuery,
    signal: AbortSignal,
  ): Promise<Result<TableRow[], PlatformError>> {
    return this.faults.read(() => this.#findRange(query), signal);
  }

  override write(
    writes: readonly RowWrite[],
    signal: AbortSignal,
  ): Promise<Result<WrittenRow[], PlatformError>> {
    if (writes.length > MOST_WRITES_IN_A_TRANSACTION) {
      throw new Error(`a transaction of ${writes.length} writes is too long`);
    }
    return this.faults.write(() => this.#applyAll(writes), signal);
  }

  /** All keys in order, past the switches; for assertions. */
  listKeys(): string[] {
    return [...this.#rows.keys()].sort();
  }

  /** Takes a copy of all rows, to which {@link restore} can go back. */
  copy(): ReadonlyMap<string, TableRow> {
    return new Map(this.#rows);
  }

  /** Goes back to a copy; versions since are given out again. */
  restore(copy: ReadonlyMap<string, TableRow>): void {
    this.#rows = new Map(copy);
  }

  #findRange(query: RangeQuery): TableRow[] {
    const { prefix, afterKey = "", limit } = query;
    return this.listKeys()
      .filter((key) => key.startsWith(prefix) && key > afterKey)
      .slice(0, limit)
      .map((key) => this.#rows.get(key) as TableRow);
  }

  #applyAll(
    writes: readonly RowWrite[],
  ): Result<WrittenRow[], PlatformError> {
    const conflicts = writes.filter((write) => !this.#isMet(write))
      .map((write) => write.key);
    if (conflicts.length > 0) {
      return err(
        new PlatformError(
          PlatformErrorKind.Conflict,
          `The rows "${conflicts.join('", "')}" do not meet their conditions`,
          { conflicts },
        ),
      );
    }
    return ok(writes.map((write) => this.#apply(write)));
  }

  #isMet(write: RowWrite): boolean {
    const row = this.#rows.get(write.key);
    switch (write.condition.kind) {
      case WriteConditionKind.Absent:
        return row === undefined;
      case WriteConditionKind.AtVersion:
        return row?.version === write.condition.version;
      case WriteConditionKind.Always:
        return true;
    }
  }

  #apply(write: RowWrite): WrittenRow {
    const { key, value } = write;
    if (value === undefined) {
      this.#rows.delete(key);
      return { key, version: 0 };
    }
    const version = (this.#rows.get(key)?.version ?? 0) + 1;
    this.#rows.set(key, { key, version, value });
    return { key, version };
  }
}
