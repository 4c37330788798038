/** Judges by what has been seen here whether a lease may be taken. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import { type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import type { OwnershipSettings } from "./settings.ts";

/** What may be done about a lease. */
export enum LeaseVerdict {
  /** Nobody uses it; it may be taken. */
  Free = "free",
  /** A live VM holds it and will hand it over, or let it lapse. */
  Held = "held",
  /**
   * A VM renews it that is not reached from here. Taking it would only make
   * the two take it from each other in turn.
   */
  HeldElsewhere = "heldElsewhere",
}

/** What leases are judged by. */
export interface LeaseObserverOptions {
  self: VmId;
  isLive: (vm: VmId) => boolean;
  clock: Clock;
  settings: OwnershipSettings;
}

interface Observation {
  version: number;
  /** When this version was first seen, on the monotonic clock. */
  seenAt: number;
  wasLive: boolean;
}

/**
 * Remembers the rows that were read. A lease has lapsed when its row has not
 * changed for as long as it lasts, so wall clocks need not agree.
 */
export class LeaseObserver {
  readonly #options: LeaseObserverOptions;
  readonly #observations = new Map<string, Observation>();
  readonly #conflicts = new Set<string>();
  readonly #elsewhere = new Map<string, VmId>();

  constructor(options: LeaseObserverOptions) {
    this.#options = options;
  }

  /** Notes that another VM has taken a lease which this VM held. */
  addConflict(pool: PoolId): void {
    this.#conflicts.add(formatPool(pool));
  }

  /** Takes in the rows of a read. */
  observe(rows: ReadonlyMap<string, LeaseRow>): void {
    for (const [key, row] of rows) {
      this.#observeRow(key, row);
    }
  }

  /** Judges a lease as it was last read; undefined for a row that is absent. */
  judge(pool: PoolId, row: LeaseRow | undefined): LeaseVerdict {
    const { self, isLive } = this.#options;
    if (row === undefined) {
      return LeaseVerdict.Free;
    }
    const { holder } = row.lease;
    if (holder === NO_HOLDER || holder === self || this.#hasLapsed(row)) {
      return LeaseVerdict.Free;
    }
    if (isLive(holder)) {
      return LeaseVerdict.Held;
    }
    return this.#elsewhere.get(formatPool(pool)) === holder
      ? LeaseVerdict.HeldElsewhere
      : LeaseVerdict.Free;
  }

  #observeRow(key: string, row: LeaseRow): void {
    const { isLive, clock } = this.#options;
    const { holder } = row.lease;
    const live = isLive(holder);
    const known = this.#observations.get(key);
    const wasRenewed = known !== undefined && known.version !== row.version;
    const isTakenUnseen = !live &&
      (this.#conflicts.has(key) || wasRenewed && !known.wasLive);
    if (isTakenUnseen) {
      this.#elsewhere.set(key, holder);
    }
    this.#conflicts.delete(key);
    this.#observations.set(key, {
      version: row.version,
      seenAt: known === undefined || wasRenewed ? clock.now() : known.seenAt,
      wasLive: live,
    });
  }

  #hasLapsed(row: LeaseRow): boolean {
    const { clock, settings } = this.#options;
    const known = this.#observations.get(formatPool(row.pool));
    return known !== undefined && known.version === row.version &&
      clock.now() - known.seenAt >= settings.leaseMilliseconds;
  }
}
