/** When waiting has become pointless, and when a caller should come back. */

import type { Clock } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

const RATE_WINDOW_MILLISECONDS = 1_000;
/** Fewer requests ahead than this say nothing of the wait. */
const LEAST_QUEUE = 4;
const LEAST_RETRY_AFTER_MILLISECONDS = 250;
const LONGEST_RETRY_AFTER_MILLISECONDS = 2_000;

/** A request that waits. */
export interface WaitSituation {
  remainingMilliseconds: number;
  waitedMilliseconds: number;
  /** Requests that are looked at before it. */
  ahead: number;
}

/** Predicts waits from how fast the queue moves. */
export class RefusalPolicy {
  readonly #grants: SlidingSum;

  constructor(clock: Clock) {
    this.#grants = new SlidingSum(clock, RATE_WINDOW_MILLISECONDS);
  }

  /** Notes that a request has left the queue for an endpoint. */
  recordGrant(): void {
    this.#grants.add(1);
  }

  /** Whether a request cannot begin within its objective any more. */
  isHopeless(situation: WaitSituation): boolean {
    const { remainingMilliseconds, ahead } = situation;
    if (remainingMilliseconds <= 0) {
      return true;
    }
    return ahead >= LEAST_QUEUE &&
      this.#predictWait(ahead) > remainingMilliseconds;
  }

  /** When a refused caller should come back, in milliseconds. */
  computeRetryAfter(waiting: number): number {
    return Math.min(
      LONGEST_RETRY_AFTER_MILLISECONDS,
      LEAST_RETRY_AFTER_MILLISECONDS + this.#predictWait(waiting),
    );
  }

  #predictWait(ahead: number): number {
    const perMillisecond = Math.max(1, this.#grants.sum) /
      RATE_WINDOW_MILLISECONDS;
    return ahead / perMillisecond;
  }
}
