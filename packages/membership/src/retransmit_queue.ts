/**
 * Queue of gossip items that are each transmitted a limited number of times.
 */

interface QueuedItem<Item> {
  item: Item;
  transmissions: number;
}

/**
 * Holds the latest item of each key and returns the least transmitted first.
 */
export class RetransmitQueue<Item> {
  readonly #queued = new Map<string, QueuedItem<Item>>();

  get size(): number {
    return this.#queued.size;
  }

  /** Adds an item that replaces an earlier one with the same key. */
  add(key: string, item: Item): void {
    this.#queued.delete(key);
    this.#queued.set(key, { item, transmissions: 0 });
  }

  /** Removes the item with this key, if there is one. */
  remove(key: string): void {
    this.#queued.delete(key);
  }

  /**
   * Returns the next items and counts a transmission of each; an item is
   * removed after `transmissionLimit` transmissions.
   */
  take(count: number, transmissionLimit: number): Item[] {
    const next = this.#listNext(count);
    for (const [key, queued] of next) {
      queued.transmissions++;
      if (queued.transmissions >= transmissionLimit) {
        this.#queued.delete(key);
      }
    }
    return next.map(([, queued]) => queued.item);
  }

  /** Returns the next items without counting a transmission. */
  peek(count: number): Item[] {
    return this.#listNext(count).map(([, queued]) => queued.item);
  }

  #listNext(count: number): [string, QueuedItem<Item>][] {
    return [...this.#queued.entries()]
      .sort((first, second) => first[1].transmissions - second[1].transmissions)
      .slice(0, count);
  }
}

const TRANSMISSIONS_PER_DOUBLING = 2;

/**
 * Computes how many times each VM must transmit an item for it to reach all VMs
 * of a zone of this size; the number grows with the logarithm of the size.
 */
export function computeTransmissionLimit(vmCount: number): number {
  return TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(vmCount + 1));
}
