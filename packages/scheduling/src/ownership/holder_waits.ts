/** Leaves pools to the live holders of their terms, for a bounded time. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import type { OwnershipSettings } from "./settings.ts";
import type { TermBook } from "./term_book.ts";

/** What holders are judged by. */
export interface HolderWaitsOptions {
  self: VmId;
  terms: TermBook;
  isLive: (vm: VmId) => boolean;
  clock: Clock;
  settings: OwnershipSettings;
}

/** Remembers which pools were handed over, and which are waited for. */
export class HolderWaits {
  readonly #options: HolderWaitsOptions;
  readonly #offered = new Set<string>();
  readonly #waitingSince = new Map<string, number>();

  constructor(options: HolderWaitsOptions) {
    this.#options = options;
  }

  /** Notes that the holder of a pool handed it over to this VM. */
  addOffer(pool: PoolId): void {
    this.#offered.add(formatPool(pool));
  }

  /** Forgets what was noted of a pool that this VM holds by now. */
  remove(pool: PoolId): void {
    this.#offered.delete(formatPool(pool));
    this.#waitingSince.delete(formatPool(pool));
  }

  /**
   * Whether a pool is left to the live holder of its highest known term. It is
   * for as long as a lease lasts, unless the holder hands the pool over.
   */
  isLeftToHolder(pool: PoolId): boolean {
    const { clock, self, settings, terms, isLive } = this.#options;
    const key = formatPool(pool);
    const holder = terms.find(pool)?.term.holder;
    const isFree = holder === undefined || holder === self ||
      !isLive(holder) || this.#offered.has(key);
    if (isFree) {
      return false;
    }
    const since = this.#waitingSince.get(key) ?? clock.now();
    this.#waitingSince.set(key, since);
    return clock.now() - since < settings.leaseMilliseconds;
  }
}
