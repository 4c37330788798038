/** The newest changes, kept for peers that lack them. */

import type { EncodedChange } from "@rattanvane/protocol";

const MOST_CHANGES = 1_000;
const MOST_BYTES = 1_024 * 1_024;

/** Holds an unbroken run of changes that ends with the newest. */
export class RecentChanges {
  #changes: EncodedChange[] = [];
  #bytes = 0;

  /** Adds changes that follow those that are held. */
  add(changes: readonly EncodedChange[]): void {
    this.#changes.push(...changes);
    this.#bytes += sumBytes(changes);
    while (this.#changes.length > MOST_CHANGES || this.#bytes > MOST_BYTES) {
      const dropped = this.#changes.shift();
      this.#bytes -= dropped?.body.length ?? 0;
    }
  }

  /** Forgets all changes, because a snapshot has skipped some. */
  clear(): void {
    this.#changes = [];
    this.#bytes = 0;
  }

  /** The changes after a version; undefined when the first is not held. */
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
