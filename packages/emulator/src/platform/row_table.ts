/** The rows of the stand-in's transactional table. */

/** A row with its version. */
export interface Row {
  key: string;
  version: number;
  value: string;
}

/** What must hold of a row before it is written. */
export enum RowCondition {
  Absent = "absent",
  AtVersion = "atVersion",
  Always = "always",
}

/** One write of a transaction. */
export interface RowChange {
  key: string;
  condition: RowCondition;
  /** The version that `AtVersion` asks for. */
  version: number;
  /** The new value; null deletes the row. */
  value: string | null;
}

/** What became of a transaction: written versions, or keys in conflict. */
export interface TransactionOutcome {
  rows: { key: string; version: number }[];
  conflicts: string[];
}

/** Which rows to list. */
export interface RowRange {
  prefix: string;
  after: string;
  limit: number;
}

/** Rows in memory, in key order. */
export class RowTable {
  readonly #rows = new Map<string, Row>();
  readonly #keys: string[] = [];

  /** Returns a row, or undefined. */
  read(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  /** Lists rows in key order. */
  list(range: RowRange): Row[] {
    const rows: Row[] = [];
    const start = range.after < range.prefix ? range.prefix : range.after;
    for (
      let place = this.#findPlace(start);
      rows.length < range.limit;
      place++
    ) {
      const key = this.#keys[place];
      if (key === undefined || !key.startsWith(range.prefix)) {
        break;
      }
      if (key > range.after) {
        rows.push(this.#rows.get(key) as Row);
      }
    }
    return rows;
  }

  /** Applies all changes, or none when a condition does not hold. */
  apply(changes: readonly RowChange[]): TransactionOutcome {
    const conflicts = changes.filter((change) => !this.#holds(change));
    if (conflicts.length > 0) {
      return { rows: [], conflicts: conflicts.map((change) => change.key) };
    }
    return {
      rows: changes.map((change) => this.#write(change)),
      conflicts: [],
    };
  }

  #holds(change: RowChange): boolean {
    const row = this.#rows.get(change.key);
    switch (change.condition) {
      case RowCondition.Absent:
        return row === undefined;
      case RowCondition.AtVersion:
        return row?.version === change.version;
      case RowCondition.Always:
        return true;
    }
  }

  #write(change: RowChange): { key: string; version: number } {
    const { key, value } = change;
    const previous = this.#rows.get(key);
    if (value === null) {
      if (previous !== undefined) {
        this.#keys.splice(this.#findPlace(key), 1);
        this.#rows.delete(key);
      }
      return { key, version: 0 };
    }
    if (previous === undefined) {
      this.#keys.splice(this.#findPlace(key), 0, key);
    }
    const version = (previous?.version ?? 0) + 1;
    this.#rows.set(key, { key, version, value });
    return { key, version };
  }

  /** The place of the first key that is not below the given one. */
  #findPlace(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] as string) < key) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
