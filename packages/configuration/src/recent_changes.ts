/** A bounded buffer of the newest changes, from which peers catch up. */

import type { EncodedChange } from "@rattanvane/protocol";

const MAXIMUM_CHANGES = 1_000;
const MAXIMUM_BYTES = 1_024 * 1_024;

/** Holds a contiguous sequence of changes that ends with the newest one. */
export class RecentChanges {
  #changes: EncodedChange[] = [];
  #bytes = 0;

  /** Appends the next changes; evicts the oldest ones beyond the limits. */
  add(changes: readonly EncodedChange[]): void {
    this.#changes.push(...changes);
    this.#bytes += sumBytes(changes);
    while (
      this.#changes.length > MAXIMUM_CHANGES || this.#bytes > MAXIMUM_BYTES
    ) {
      const dropped = this.#changes.shift();
      this.#bytes -= dropped?.body.length ?? 0;
    }
  }

  /** Removes all changes; needed after a snapshot, which skips versions. */
  clear(): void {
    this.#changes = [];
    this.#bytes = 0;
  }

  /** Lists the changes after a version; undefined if the first is not held. */
  listAfter(version: number, newest: number): EncodedChange[] | undefined {
    if (version >= newest) {
      return [];
    }
    const first = this.#changes[0]?.version;
    if (first === undefined || version + 1 < first) {
      return undefined;
    }
    return this.#changes.slice(version + 1 - first);
  }
}

function sumBytes(changes: readonly EncodedChange[]): number {
  return changes.reduce((sum, change) => sum + change.body.length, 0);
}
