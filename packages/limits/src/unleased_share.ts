/** Computes the share of a limit that a scheduler without a lease may use. */

import type { VmId } from "@rattanvane/protocol";
import type { EndpointLimitSettings } from "./settings.ts";

/**
 * Number of distinct delays that stagger the first attempts of schedulers that
 * do not know of each other.
 */
const STAGGER_STEPS = 16;

const HASH_MULTIPLIER = 31;
const HASH_MODULUS = 1_000_003;

/** A slot that is reused within this time counts as continuously used. */
const SLOT_REUSE_GAP_MILLISECONDS = 20;

/**
 * The share starts at half of the limit, so that two schedulers never exceed
 * the limit together. It grows by one slot whenever fresh reports have shown no
 * foreign request for longer than their lag, up to one below the limit: the
 * last slot stays free for a second scheduler, whose use of it shows that it
 * exists.
 *
 * A foreign request or a raised limit resets the share to half of the limit.
 * Unused slots beyond that half are released at once: another scheduler sees
 * them as free and may use them, so this one must not fill them at the same
 * time.
 */
export class UnleasedShare {
  readonly #settings: EndpointLimitSettings;
  readonly #staggerMilliseconds: number;
  #ownAttempts = 0;
  #busySince = 0;
  #limit = 0;
  #fullyUsedAt = -Infinity;
  #extraSlots = 0;
  #exclusiveSince: number | undefined;
  #lastReportAt = -Infinity;

  constructor(settings: EndpointLimitSettings, self: VmId) {
    this.#settings = settings;
    this.#staggerMilliseconds = (hashName(self) % STAGGER_STEPS) *
      settings.maximumReportLagMilliseconds;
  }

  /** Computes how many attempts this scheduler may have at the endpoint. */
  computeShare(limit: number, now: number): number {
    const isFresh =
      now - this.#lastReportAt <= this.#settings.reportFreshMilliseconds;
    if (!isFresh || limit > this.#limit) {
      this.#reset();
    }
    this.#limit = limit;
    this.#releaseUnused(now);
    return Math.min(Math.max(1, limit - 1), this.#half + this.#extraSlots);
  }

  /** Updates the number of attempts that this scheduler has at the endpoint. */
  updateOwnAttempts(
    own: number,
    options: { limit: number; now: number },
  ): void {
    const share = this.#half + this.#extraSlots;
    if (this.#ownAttempts >= share) {
      this.#fullyUsedAt = options.now;
    }
    if (this.#ownAttempts === 0) {
      this.#busySince = options.now;
    }
    this.#ownAttempts = own;
    this.computeShare(options.limit, options.now);
  }

  /**
   * Whether this scheduler's attempts have run for longer than reports lag, so
   * that any other scheduler must have seen them.
   */
  isVisibleToOthers(now: number): boolean {
    return this.#ownAttempts > 0 &&
      now - this.#busySince > this.#settings.maximumReportLagMilliseconds;
  }

  /** Adjusts the share to a load report. */
  recordReport(report: ShareReport): void {
    const { now, limit, sampledAt } = report;
    this.#lastReportAt = now;
    const share = this.computeShare(limit, now);
    if (report.foreign > 0) {
      this.#reset();
      return;
    }
    if (this.#ownAttempts < share) {
      return;
    }
    this.#exclusiveSince ??= sampledAt;
    const exclusiveFor = sampledAt - this.#exclusiveSince;
    const isDelayOver = exclusiveFor > this.#computeGrowthDelay(limit);
    const canGrow = share < Math.max(1, limit - 1);
    if (isDelayOver && report.isForeignExact && canGrow) {
      this.#extraSlots++;
      this.#fullyUsedAt = now;
      this.#exclusiveSince = sampledAt;
    }
  }

  get #half(): number {
    return Math.floor(this.#limit / 2);
  }

  #releaseUnused(now: number): void {
    const half = this.#half;
    if (this.#ownAttempts >= half + this.#extraSlots) {
      this.#fullyUsedAt = now;
      return;
    }
    if (now - this.#fullyUsedAt > SLOT_REUSE_GAP_MILLISECONDS) {
      this.#extraSlots = Math.max(0, this.#ownAttempts - half);
      this.#exclusiveSince = undefined;
    }
  }

  #reset(): void {
    this.#extraSlots = 0;
    this.#exclusiveSince = undefined;
  }

  /**
   * Computes for how long reports must show no foreign request before the share
   * grows, in milliseconds. A limit of 1 cannot be halved, so the delay of the
   * first attempts is staggered by VM instead.
   */
  #computeGrowthDelay(limit: number): number {
    const stagger = limit < 2 ? this.#staggerMilliseconds : 0;
    return this.#settings.maximumReportLagMilliseconds + stagger;
  }
}

/** A load report, as far as it concerns foreign requests at the endpoint. */
export interface ShareReport {
  now: number;
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  /** Number of requests that this scheduler did not send. */
  foreign: number;
  /** Whether the report determines that number exactly. */
  isForeignExact: boolean;
  limit: number;
}

function hashName(name: string): number {
  let hash = 0;
  for (const character of name) {
    const code = character.codePointAt(0) ?? 0;
    hash = (hash * HASH_MULTIPLIER + code) % HASH_MODULUS;
  }
  return hash;
}
