/** Keeps this VM's repeated sends to its part of the fleet's bound. */

import type { Clock } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

/** Leaves room for windows that begin between two steps. */
const SAFETY_SHARE = 0.8;

/** The fleet's bound on sends beyond the first of each request. */
export interface RetryBound {
  windowMilliseconds: number;
  /** Allowed for each request in the window. */
  ratio: number;
  /** Allowed besides, for all VMs together. */
  extra: number;
}

/** Counts requests and repeated sends of one service at this VM. */
export class RetryAllowance {
  readonly #bound: RetryBound;
  readonly #requests: SlidingSum;
  readonly #repeats: SlidingSum;

  constructor(clock: Clock, bound: RetryBound) {
    this.#bound = bound;
    this.#requests = new SlidingSum(clock, bound.windowMilliseconds);
    this.#repeats = new SlidingSum(clock, bound.windowMilliseconds);
  }

  /** Counts a caller's request. */
  countRequest(): void {
    this.#requests.add(1);
  }

  /** Takes one repeated send; false when this VM's part is spent. */
  take(vms: number): boolean {
    const { ratio, extra } = this.#bound;
    const allowed = SAFETY_SHARE *
      (ratio * this.#requests.sum + extra / Math.max(1, vms));
    if (this.#repeats.sum + 1 > allowed) {
      return false;
    }
    this.#repeats.add(1);
    return true;
  }
}
