/** Predicts how long a request waits behind others of its service. */

import type { Clock } from "@rattanvane/base";
import { computeCost, type SchedulableCall } from "../model/call.ts";
import { SlidingSum } from "./sliding_window.ts";

const RATE_WINDOW_MILLISECONDS = 1_000;

/**
 * Measures the cost units a second that a service was granted. Long prompts
 * have endpoints of their own and are measured apart from others.
 */
export class QueueForecast {
  readonly #long: SlidingSum;
  readonly #other: SlidingSum;

  constructor(clock: Clock) {
    this.#long = new SlidingSum(clock, RATE_WINDOW_MILLISECONDS);
    this.#other = new SlidingSum(clock, RATE_WINDOW_MILLISECONDS);
  }

  /** Records that a request left the queue for an endpoint. */
  recordGrant(call: SchedulableCall, isLong: boolean): void {
    this.#find(isLong).add(computeWork(call));
  }

  /**
   * Predicts the wait, in milliseconds, until the given requests have been sent
   * to endpoints; undefined if none was sent lately.
   */
  predictWait(
    ahead: readonly SchedulableCall[],
    isLong: boolean,
  ): number | undefined {
    const sent = this.#find(isLong).sum;
    const work = ahead.reduce((sum, call) => sum + computeWork(call), 0);
    return sent === 0 ? undefined : work * RATE_WINDOW_MILLISECONDS / sent;
  }

  #find(isLong: boolean): SlidingSum {
    return isLong ? this.#long : this.#other;
  }
}

/** Requests without a prompt count alike. */
function computeWork(call: SchedulableCall): number {
  return Math.max(1, computeCost(call));
}
