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
 * longer than their lag. A foreign request, or a moment in which less than the
 * half is used, puts it back to the half: the other side then sees room and
 * may take it, and this side must not fill it at the same time.
 */
export class CautiousShare {
  readonly #settings: EndpointLimitSettings;
  readonly #trialDelay: number;
  #own = 0;
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
    const half = Math.floor(limit / 2);
    const isFresh =
      now - this.#reportedAt <= this.#settings.reportFreshMilliseconds;
    if (!isFresh || !this.#isUsed(limit, now)) {
      this.#reset();
    }
    return Math.min(limit, half + this.#extra);
  }

  /** Takes in how many attempts this scheduler now has there. */
  updateOwn(own: number, options: { limit: number; now: number }): void {
    const needed = computeNeeded(options.limit);
    if (own >= needed || this.#own >= needed) {
      this.#usedAt = options.now;
    }
    this.#own = own;
  }

  /** Takes in a report. */
  recordReport(report: ShareReport): void {
    const { now, limit, sampledAt } = report;
    this.#reportedAt = now;
    const share = this.computeShare(limit, now);
    if (report.foreign > 0 || !this.#isUsed(limit, now)) {
      this.#reset();
      return;
    }
    this.#cleanSince ??= sampledAt;
    const clean = sampledAt - this.#cleanSince;
    const isPatient = clean > this.#computePatience(limit);
    if (isPatient && report.isSure && share < limit) {
      this.#extra++;
      this.#usedAt = now;
      this.#cleanSince = sampledAt;
    }
  }

  #isUsed(limit: number, now: number): boolean {
    if (this.#own >= computeNeeded(limit)) {
      return true;
    }
    const isRecent = now - this.#usedAt <= UNUSED_MILLISECONDS;
    return isRecent || (limit < 2 && this.#extra === 0);
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

/** What must be in use for extra slots to be kept. */
function computeNeeded(limit: number): number {
  return Math.max(1, Math.floor(limit / 2));
}

function hashName(name: string): number {
  let hash = 0;
  for (const letter of name) {
    const code = letter.codePointAt(0) ?? 0;
    hash = (hash * HASH_FACTOR + code) % HASH_MODULUS;
  }
  return hash;
}
