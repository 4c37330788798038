/** Divides the attempts that an unproven version may get among processes. */

import type { RolloutAllowance } from "@rattanvane/protocol";
import type { RolloutSettings } from "./rollout_record.ts";

/**
 * The part of both bounds that is handed out. The rest covers requests that
 * count as having reached the service here, but not at the endpoints.
 */
const USED_FRACTION = 0.8;
/** A process may hold this many unused attempts, or those of this time. */
const MIN_UNUSED = 2;
const UNUSED_SECONDS = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;
const RATE_WINDOW_MILLISECONDS = 500;

/** What one process has reported since the roll-out began there. */
export interface ReportedCounts {
  /** Requests that it sent to the service's endpoints, all versions. */
  reached: number;
  /** The part of them that went to the new version. */
  exposed: number;
}

interface ProcessAccount extends ReportedCounts {
  allowed: number;
  /** Requests a second that reach the service. */
  rate: number;
  rateBase: number;
  rateBaseAt: number;
}

/**
 * The accounts of one owner. What was reserved before its term counts as used,
 * whoever holds it; an attempt that a stopped process did not use is lost.
 */
export class ExposureLedger {
  readonly #settings: RolloutSettings;
  readonly #accounts = new Map<string, ProcessAccount>();
  /** Attempts that were reserved before this owner's term. */
  readonly #formerReserved: number;
  #reached: number;
  #reserved: number;
  #issued = 0;

  constructor(
    settings: RolloutSettings,
    start: { reached: number; reserved: number },
  ) {
    this.#settings = settings;
    this.#reached = start.reached;
    this.#reserved = start.reserved;
    this.#formerReserved = start.reserved;
  }

  /** Requests that are known to have reached the service since the order. */
  get reached(): number {
    return this.#reached;
  }

  /** Attempts that may be handed out by the store's record. */
  get reserved(): number {
    return this.#reserved;
  }

  /** Attempts that may be reserved now. */
  get reservable(): number {
    const { canaryShare, canaryMargin } = this.#settings;
    const permitted = USED_FRACTION *
      (canaryShare * this.#reached + canaryMargin);
    return Math.max(this.#reserved, Math.floor(permitted));
  }

  /** Applies a reservation that the store has acknowledged. */
  updateReserved(reserved: number): void {
    this.#reserved = Math.max(this.#reserved, reserved);
  }

  /**
   * Applies a process's report. Its first one only sets the base, since its
   * requests may have been counted by a former owner.
   */
  recordReport(process: string, counts: ReportedCounts, now: number): void {
    const account = this.#accounts.get(process);
    if (account === undefined) {
      this.#accounts.set(process, {
        ...counts,
        allowed: counts.exposed,
        rate: 0,
        rateBase: counts.reached,
        rateBaseAt: now,
      });
      return;
    }
    this.#reached += Math.max(0, counts.reached - account.reached);
    account.reached = counts.reached;
    account.exposed = counts.exposed;
    const elapsed = now - account.rateBaseAt;
    if (elapsed >= RATE_WINDOW_MILLISECONDS) {
      account.rate = (counts.reached - account.rateBase) *
        MILLISECONDS_PER_SECOND / elapsed;
      account.rateBase = counts.reached;
      account.rateBaseAt = now;
    }
  }

  /** Hands attempts out to live processes, those with the fewest first. */
  issue(live: ReadonlySet<string>, share: number): void {
    for (;;) {
      const free = this.#reserved - this.#formerReserved - this.#issued;
      const account = this.#findNeediest(live, share);
      if (free < 1 || account === undefined) {
        return;
      }
      account.allowed++;
      this.#issued++;
    }
  }

  /** Lists how many attempts each live process may make in all. */
  listAllowances(live: ReadonlySet<string>): RolloutAllowance[] {
    const allowances: RolloutAllowance[] = [];
    for (const [process, { allowed }] of this.#accounts) {
      if (live.has(process)) {
        allowances.push({ process, attempts: allowed });
      }
    }
    return allowances;
  }

  #findNeediest(
    live: ReadonlySet<string>,
    share: number,
  ): ProcessAccount | undefined {
    let neediest: ProcessAccount | undefined;
    let largestNeed = 0;
    for (const [process, account] of this.#accounts) {
      const wanted = Math.max(
        MIN_UNUSED,
        account.rate * share * UNUSED_SECONDS,
      );
      const need = wanted - (account.allowed - account.exposed);
      if (live.has(process) && need >= 1 && need > largestNeed) {
        neediest = account;
        largestNeed = need;
      }
    }
    return neediest;
  }
}
