/** Limits this VM's retries to its part of the fleet's limit. */

import type { Clock } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

/**
 * The sliding sums move in steps; the margin covers windows that begin between
 * two steps.
 */
const SAFETY_FACTOR = 0.8;

/** The fleet's limit on attempts beyond the first of each request. */
export interface RetryBound {
  /** The length of the sliding window. */
  windowMilliseconds: number;
  /** Retries allowed per request in the window. */
  ratio: number;
  /** Retries allowed in addition, for all VMs together. */
  extra: number;
}

/** The retry limit of one service at this VM, over a sliding window. */
export class RetryAllowance {
  readonly #bound: RetryBound;
  readonly #requests: SlidingSum;
  readonly #retries: SlidingSum;

  constructor(clock: Clock, bound: RetryBound) {
    this.#bound = bound;
    this.#requests = new SlidingSum(clock, bound.windowMilliseconds);
    this.#retries = new SlidingSum(clock, bound.windowMilliseconds);
  }

  /** Records a caller's request. */
  recordRequest(): void {
    this.#requests.add(1);
  }

  /**
   * Acquires one retry; false if this VM's part of the limit is used up.
   *
   * @param vms the number of VMs that share the additional retries
   */
  take(vms: number): boolean {
    if (!this.hasCapacity(vms, 1)) {
      return false;
    }
    this.#retries.add(1);
    return true;
  }

  /** Whether a fraction, 0 to 1, of this VM's part allows one more retry. */
  hasCapacity(vms: number, fraction: number): boolean {
    const { ratio, extra } = this.#bound;
    const allowed = SAFETY_FACTOR *
      (ratio * this.#requests.sum + extra / Math.max(1, vms));
    return this.#retries.sum + 1 <= fraction * allowed;
  }
}
