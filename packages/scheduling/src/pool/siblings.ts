/** What is known of the schedulers of the same service in other zones. */

import {
  type CounterDeltaMessage,
  formatPool,
  type OfferMessage,
  type PoolId,
  type VmId,
} from "@rattanvane/protocol";

/** A scheduler of the same service in another zone. */
export interface Sibling {
  readonly pool: PoolId;
  vm: VmId;
  /** When it was last heard of, in clock time; undefined for never. */
  heardAt: number | undefined;
  waiting: number;
  slots: number;
  virtualTime: number;
  /** Idle slots that it offered and that were not used yet. */
  offeredSlots: number;
  /** Entries that it wants besides. */
  offeredPrefetch: number;
  offeredAt: number;
  /** When free slots were last offered to it. */
  askedAt: number;
  /** It was cut off, and its totals of that time have not all come. */
  isRejoining: boolean;
}

/** Where a pool's scheduler runs. */
export interface SiblingAddress {
  pool: PoolId;
  vm: VmId;
}

/** Keeps the siblings of one pool. */
export class Siblings {
  readonly #siblings = new Map<string, Sibling>();
  #version = 0;

  get size(): number {
    return this.#siblings.size;
  }

  /** Rises when a sibling comes or moves, so that it can be told the news. */
  get version(): number {
    return this.#version;
  }

  /** Whether work waits at any of them. */
  hasWaiting(): boolean {
    return this.list().some(({ waiting }) => waiting > 0);
  }

  list(): Sibling[] {
    return [...this.#siblings.values()];
  }

  find(pool: PoolId): Sibling | undefined {
    return this.#siblings.get(formatPool(pool));
  }

  /** Takes in where the schedulers run now. */
  update(addresses: readonly SiblingAddress[]): void {
    const listed = new Set(addresses.map(({ pool }) => formatPool(pool)));
    for (const key of this.#siblings.keys()) {
      if (!listed.has(key)) {
        this.#siblings.delete(key);
      }
    }
    for (const { pool, vm } of addresses) {
      const sibling = this.#findOrAdd(pool, vm);
      if (sibling.vm !== vm) {
        sibling.vm = vm;
        this.#version++;
      }
    }
  }

  /** Takes in a sibling's load; returns when it was heard of before. */
  recordCounters(
    from: VmId,
    options: { message: CounterDeltaMessage; now: number },
  ): { heardBefore: number | undefined; sibling: Sibling } {
    const { message, now } = options;
    const sibling = this.#findOrAdd(message.pool, from);
    const heardBefore = sibling.heardAt;
    sibling.heardAt = now;
    sibling.waiting = message.waiting;
    sibling.slots = message.slots;
    // A virtual time is ahead of counters whose totals were not sent yet.
    if (message.unsent === undefined || heardBefore === undefined) {
      sibling.virtualTime = message.virtualTime;
    }
    return { heardBefore, sibling };
  }

  /** Takes in free slots; a later offer replaces an earlier one. */
  recordOffer(
    from: VmId,
    options: { message: OfferMessage; now: number },
  ): Sibling {
    const { message, now } = options;
    const sibling = this.#findOrAdd(message.pool, from);
    sibling.vm = from;
    sibling.offeredSlots = message.freeSlots;
    sibling.offeredPrefetch = message.prefetch;
    sibling.offeredAt = now;
    return sibling;
  }

  #findOrAdd(pool: PoolId, vm: VmId): Sibling {
    const key = formatPool(pool);
    let sibling = this.#siblings.get(key);
    if (sibling === undefined) {
      sibling = {
        pool,
        vm,
        heardAt: undefined,
        waiting: 0,
        slots: 0,
        virtualTime: 0,
        offeredSlots: 0,
        offeredPrefetch: 0,
        offeredAt: -Infinity,
        askedAt: -Infinity,
        isRejoining: false,
      };
      this.#siblings.set(key, sibling);
      this.#version++;
    }
    return sibling;
  }
}
