/** Tracks the schedulers of the same service in other zones. */

import {
  type CounterDeltaMessage,
  formatPool,
  type OfferMessage,
  type PoolId,
  type VmId,
} from "@rattanvane/protocol";

/** The last known state of a scheduler of the same service in another zone. */
export interface Sibling {
  readonly pool: PoolId;
  vm: VmId;
  /** Clock time of the last counters received from it; undefined before any. */
  lastReceivedAt: number | undefined;
  /** Its number of waiting entries, from the last counters. */
  waiting: number;
  /** The sum of its endpoints' limits, from the last counters. */
  slots: number;
  /** The virtual time of its fair queue. */
  virtualTime: number;
  /** Idle slots that it offered and that have not been used yet. */
  offeredSlots: number;
  /** Entries that it offered to fetch in advance, beyond its idle slots. */
  offeredPrefetch: number;
  /** Clock time of its last offer. */
  offeredAt: number;
  /** Clock time of the last offer sent to it. */
  lastOfferSentAt: number;
  /**
   * Whether it was disconnected and some totals from that time are still
   * missing.
   */
  isRejoining: boolean;
}

/** The VM that runs a pool's scheduler. */
export interface SiblingAddress {
  pool: PoolId;
  vm: VmId;
}

/** The siblings of one pool, by pool. */
export class Siblings {
  readonly #siblings = new Map<string, Sibling>();
  #version = 0;

  get size(): number {
    return this.#siblings.size;
  }

  /**
   * Increases when a sibling is added or moves to another VM, so that counters
   * are sent to it.
   */
  get version(): number {
    return this.#version;
  }

  /** Whether any sibling has waiting entries. */
  hasWaiting(): boolean {
    return this.list().some(({ waiting }) => waiting > 0);
  }

  list(): Sibling[] {
    return [...this.#siblings.values()];
  }

  find(pool: PoolId): Sibling | undefined {
    return this.#siblings.get(formatPool(pool));
  }

  /** Replaces the list of siblings and the VMs they run on. */
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

  /**
   * Records a sibling's load. `heardBefore` is the time of its previous
   * counters, or undefined if these are the first.
   */
  recordCounters(
    from: VmId,
    options: { message: CounterDeltaMessage; now: number },
  ): { heardBefore: number | undefined; sibling: Sibling } {
    const { message, now } = options;
    const sibling = this.#findOrAdd(message.pool, from);
    const heardBefore = sibling.lastReceivedAt;
    sibling.lastReceivedAt = now;
    sibling.waiting = message.waiting;
    sibling.slots = message.slots;
    // While totals are unsent, the virtual time is ahead of the known counters.
    // Only the first message sets it regardless.
    if (message.unsent === undefined || heardBefore === undefined) {
      sibling.virtualTime = message.virtualTime;
    }
    return { heardBefore, sibling };
  }

  /** Records an offer of free slots, which replaces any earlier offer. */
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
        lastReceivedAt: undefined,
        waiting: 0,
        slots: 0,
        virtualTime: 0,
        offeredSlots: 0,
        offeredPrefetch: 0,
        offeredAt: -Infinity,
        lastOfferSentAt: -Infinity,
        isRejoining: false,
      };
      this.#siblings.set(key, sibling);
      this.#version++;
    }
    return sibling;
  }
}
