/** Decides from the observed lease rows whether a lease may be acquired. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import { type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import type { OwnershipSettings } from "./settings.ts";

/** State of a lease as this VM sees it. */
export enum LeaseState {
  /** Not in use; it may be acquired. */
  Free = "free",
  /** Held by a live VM, which will hand it over or let it expire. */
  Held = "held",
  /**
   * Renewed by a VM that is not reachable from here. If this VM acquired it,
   * the two would keep taking the lease from each other.
   */
  HeldElsewhere = "heldElsewhere",
}

/** Dependencies of `LeaseObserver`. */
export interface LeaseObserverOptions {
  self: VmId;
  isLive: (vm: VmId) => boolean;
  clock: Clock;
  settings: OwnershipSettings;
}

interface Observation {
  version: number;
  /** When this version was first observed; monotonic, in ms. */
  seenAt: number;
  /** Whether the holder was live when the row was last observed. */
  wasLive: boolean;
}

/**
 * Tracks when each lease row last changed. A lease has expired when its row has
 * not changed for one lease duration, so that the VMs' wall clocks need not
 * agree.
 */
export class LeaseObserver {
  readonly #options: LeaseObserverOptions;
  readonly #observations = new Map<string, Observation>();
  readonly #conflicts = new Set<string>();
  readonly #unreachableHolders = new Map<string, VmId>();

  constructor(options: LeaseObserverOptions) {
    this.#options = options;
  }

  /** Records that this VM's renewal failed because another VM wrote the row. */
  addConflict(pool: PoolId): void {
    this.#conflicts.add(formatPool(pool));
  }

  /** Updates the observations with the rows of one read, by pool. */
  observe(rows: ReadonlyMap<string, LeaseRow>): void {
    for (const [key, row] of rows) {
      this.#observeRow(key, row);
    }
  }

  /** Judges a lease by its last read row; undefined when the row is absent. */
  judge(pool: PoolId, row: LeaseRow | undefined): LeaseState {
    const { self, isLive } = this.#options;
    if (row === undefined) {
      return LeaseState.Free;
    }
    const { holder } = row.lease;
    if (holder === NO_HOLDER || holder === self || this.#hasExpired(row)) {
      return LeaseState.Free;
    }
    if (isLive(holder)) {
      return LeaseState.Held;
    }
    return this.#unreachableHolders.get(formatPool(pool)) === holder
      ? LeaseState.HeldElsewhere
      : LeaseState.Free;
  }

  #observeRow(key: string, row: LeaseRow): void {
    const { isLive, clock } = this.#options;
    const { holder } = row.lease;
    const isHolderLive = isLive(holder);
    const previous = this.#observations.get(key);
    const wasRenewed = previous !== undefined &&
      previous.version !== row.version;
    const isHeldByUnreachable = !isHolderLive &&
      (this.#conflicts.has(key) || wasRenewed && !previous.wasLive);
    if (isHeldByUnreachable) {
      this.#unreachableHolders.set(key, holder);
    }
    this.#conflicts.delete(key);
    this.#observations.set(key, {
      version: row.version,
      seenAt: previous === undefined || wasRenewed
        ? clock.now()
        : previous.seenAt,
      wasLive: isHolderLive,
    });
  }

  #hasExpired(row: LeaseRow): boolean {
    const { clock, settings } = this.#options;
    const observation = this.#observations.get(formatPool(row.pool));
    return observation !== undefined && observation.version === row.version &&
      clock.now() - observation.seenAt >= settings.leaseMilliseconds;
  }
}
