/** Grace periods in which a pool is reserved for its live holder. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import type { OwnershipSettings } from "./settings.ts";
import type { TermRegistry } from "./term_registry.ts";

/** Dependencies of `HolderGracePeriods`. */
export interface HolderGracePeriodsOptions {
  self: VmId;
  terms: TermRegistry;
  isLive: (vm: VmId) => boolean;
  clock: Clock;
  settings: OwnershipSettings;
}

/** Tracks pools that were handed over to this VM, and running grace periods. */
export class HolderGracePeriods {
  readonly #options: HolderGracePeriodsOptions;
  readonly #offeredPools = new Set<string>();
  readonly #startedAt = new Map<string, number>();

  constructor(options: HolderGracePeriodsOptions) {
    this.#options = options;
  }

  /** Records that the holder of a pool handed it over to this VM. */
  addOffer(pool: PoolId): void {
    this.#offeredPools.add(formatPool(pool));
  }

  /** Removes the state of a pool that this VM now holds. */
  remove(pool: PoolId): void {
    this.#offeredPools.delete(formatPool(pool));
    this.#startedAt.delete(formatPool(pool));
  }

  /**
   * Whether a pool is reserved for the live holder of its highest known term.
   * The first call for such a pool starts a grace period of one lease duration,
   * which ends early when the holder hands the pool over.
   */
  isReservedForHolder(pool: PoolId): boolean {
    const { clock, self, settings, terms, isLive } = this.#options;
    const key = formatPool(pool);
    const holder = terms.find(pool)?.term.holder;
    const isUnreserved = holder === undefined || holder === self ||
      !isLive(holder) || this.#offeredPools.has(key);
    if (isUnreserved) {
      return false;
    }
    const startedAt = this.#startedAt.get(key) ?? clock.now();
    this.#startedAt.set(key, startedAt);
    return clock.now() - startedAt < settings.leaseMilliseconds;
  }
}
