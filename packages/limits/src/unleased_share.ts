/** The share of a limit that a scheduler without a lease may use. */

import type { VmId } from "@rattanvane/protocol";
import type { EndpointLimitSettings } from "./settings.ts";

/** Spreads first trials of schedulers that do not know of each other. */
const TRIAL_PLACES = 16;

const HASH_FACTOR = 31;
const HASH_MODULUS = 1_000_003;

/** A slot that is used again so soon has not been empty. */
const UNUSED_MILLISECONDS = 20;

/**
 * Starts with half of the limit, so that two schedulers never exceed it, and
 * adds one slot each time that fresh reports showed no foreign request for
 * longer than their lag, up to one below the limit: the last slot stays for a
 * second scheduler, which by using it makes itself known. A foreign request or
 * a raised limit puts the share back to the half, and slots beyond the half that
 * are not used are lost at once: the other side sees them free and may take
 * them, and this side must not fill them at the same time.
 */
export class CautiousShare {
  readonly #settings: EndpointLimitSettings;
  readonly #trialDelay: number;
  #own = 0;
  #ownSince = 0;
  #limit = 0;
  #usedAt = -Infinity;
  #extra = 0;
  #cleanSince: number | undefined;
  #reportedAt = -Infinity;

  constructor(settings: EndpointLimitSettings, self: VmId) {
    this.#settings = settings;
    this.#trialDelay = (hashName(self) % TRIAL_PLACES) *
      settings.aloneMilliseconds;
  }

  /** The most that this scheduler may have at the endpoint. */
  computeShare(limit: number, now: number): number {
    const isFresh =
      now - this.#reportedAt <= this.#settings.reportFreshMilliseconds;
    if (!isFresh || limit > this.#limit) {
      this.#reset();
    }
    this.#limit = limit;
    this.#dropUnused(now);
    return Math.min(Math.max(1, limit - 1), this.#half + this.#extra);
  }

  /** Takes in how many attempts this scheduler now has there. */
  updateOwn(own: number, options: { limit: number; now: number }): void {
    const share = this.#half + this.#extra;
    if (this.#own >= share) {
      this.#usedAt = options.now;
    }
    if (this.#own === 0) {
      this.#ownSince = options.now;
    }
    this.#own = own;
    this.computeShare(options.limit, options.now);
  }

  /** Whether a second scheduler must have seen attempts of this one. */
  isKnown(now: number): boolean {
    return this.#own > 0 &&
      now - this.#ownSince > this.#settings.aloneMilliseconds;
  }

  /** Takes in a report. */
  recordReport(report: ShareReport): void {
    const { now, limit, sampledAt } = report;
    this.#reportedAt = now;
    const share = this.computeShare(limit, now);
    if (report.foreign > 0) {
      this.#reset();
      return;
    }
    if (this.#own < share) {
      return;
    }
    this.#cleanSince ??= sampledAt;
    const clean = sampledAt - this.#cleanSince;
    const isPatient = clean > this.#computePatience(limit);
    const mayGrow = share < Math.max(1, limit - 1);
    if (isPatient && report.isSure && mayGrow) {
      this.#extra++;
      this.#usedAt = now;
      this.#cleanSince = sampledAt;
    }
  }

  get #half(): number {
    return Math.floor(this.#limit / 2);
  }

  #dropUnused(now: number): void {
    const half = this.#half;
    if (this.#own >= half + this.#extra) {
      this.#usedAt = now;
      return;
    }
    if (now - this.#usedAt > UNUSED_MILLISECONDS) {
      this.#extra = Math.max(0, this.#own - half);
      this.#cleanSince = undefined;
    }
  }

  #reset(): void {
    this.#extra = 0;
    this.#cleanSince = undefined;
  }

  /** A limit of 1 has no half: the first trials are spread by VM. */
  #computePatience(limit: number): number {
    const spread = limit < 2 ? this.#trialDelay : 0;
    return this.#settings.aloneMilliseconds + spread;
  }
}

/** What a report shows of others at the endpoint. */
export interface ShareReport {
  now: number;
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  foreign: number;
  /** Whether the report leaves no doubt of that. */
  isSure: boolean;
  limit: number;
}

function hashName(name: string): number {
  let hash = 0;
  for (const letter of name) {
    const code = letter.codePointAt(0) ?? 0;
    hash = (hash * HASH_FACTOR + code) % HASH_MODULUS;
  }
  return hash;
}
