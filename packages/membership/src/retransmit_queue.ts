/** News that is passed on a limited number of times. */

interface QueuedNews<Item> {
  item: Item;
  transmissions: number;
}

/** Holds the newest news for each key; the least transmitted goes first. */
export class RetransmitQueue<Item> {
  readonly #news = new Map<string, QueuedNews<Item>>();

  get size(): number {
    return this.#news.size;
  }

  /** Adds news, in place of older news with the same key. */
  add(key: string, item: Item): void {
    this.#news.delete(key);
    this.#news.set(key, { item, transmissions: 0 });
  }

  /** Drops the news with this key. */
  remove(key: string): void {
    this.#news.delete(key);
  }

  /** Takes the next items, each at most `transmissionLimit` times in all. */
  take(count: number, transmissionLimit: number): Item[] {
    const next = this.#listNext(count);
    for (const [key, news] of next) {
      news.transmissions++;
      if (news.transmissions >= transmissionLimit) {
        this.#news.delete(key);
      }
    }
    return next.map(([, news]) => news.item);
  }

  /** Reads the next items without counting this as a transmission. */
  peek(count: number): Item[] {
    return this.#listNext(count).map(([, news]) => news.item);
  }

  #listNext(count: number): [string, QueuedNews<Item>][] {
    return [...this.#news.entries()]
      .sort((first, second) => first[1].transmissions - second[1].transmissions)
      .slice(0, count);
  }
}

const TRANSMISSIONS_PER_DOUBLING = 2;

/** Computes how often news must be passed on to reach a zone of this size. */
export function computeTransmissionLimit(vmCount: number): number {
  return TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(vmCount + 1));
}
