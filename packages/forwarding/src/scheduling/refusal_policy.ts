/** Decides which waiting requests to refuse, and when callers should retry. */

import type { Clock, RandomSource } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

const RATE_WINDOW_MILLISECONDS = 1_000;
/** This many requests may wait even if none was sent recently. */
const MIN_WAITING_REQUESTS = 4;
/** Late requests that may wait, as a fraction of those sent in a second. */
const LATE_REQUESTS_FRACTION = 0.5;
/** The fraction of its total time that a request may wait for an endpoint. */
const MAX_WAIT_FRACTION = 0.08;
const MIN_RETRY_AFTER_MILLISECONDS = 250;
const MAX_RETRY_AFTER_MILLISECONDS = 2_000;
/** The same fraction for a long prompt, which only a few engines accept. */
const MAX_LONG_PROMPT_WAIT_FRACTION = 0.2;
/** The fraction of the objective that a request waits for spare capacity. */
const MAX_SPARE_CAPACITY_WAIT_FRACTION = 0.12;
/** The base delay of a retry over share, as a fraction of the objective. */
const OVER_SHARE_RETRY_AFTER_FRACTION = 0.35;
/** The upper limit of the random delay, as a fraction of the base delay. */
const RETRY_JITTER_FRACTION = 0.5;

/** The state of a request that waits for an endpoint. */
export interface QueueWait {
  waitedMilliseconds: number;
  /** The time until the final response is due. */
  remainingMilliseconds: number;
  /**
   * The number of requests that wait past their objective; 0 if this request is
   * not one of them.
   */
  lateRequests: number;
}

/** The state of a request over its share that waits for spare capacity. */
export interface SpareCapacityWait {
  waitedMilliseconds: number;
  objectiveMilliseconds: number;
  /** The number of requests waiting for spare capacity, including this one. */
  waiting: number;
}

/** Bases refusals and retry delays on the rate at which requests are sent. */
export class RefusalPolicy {
  readonly #grants: SlidingSum;
  readonly #random: RandomSource;

  constructor(clock: Clock, random: RandomSource) {
    this.#random = random;
    this.#grants = new SlidingSum(clock, RATE_WINDOW_MILLISECONDS);
  }

  /** Records that a request left the queue for an endpoint. */
  recordGrant(): void {
    this.#grants.add(1);
  }

  /**
   * Whether a request should be refused. A late response has little value, so
   * only as many late requests wait as are expected to be sent soon.
   */
  isRefusalDue(wait: QueueWait): boolean {
    const { waitedMilliseconds, remainingMilliseconds, lateRequests } = wait;
    const maxLateRequests = Math.max(
      MIN_WAITING_REQUESTS,
      this.#grants.sum * LATE_REQUESTS_FRACTION,
    );
    const totalMilliseconds = waitedMilliseconds + remainingMilliseconds;
    return lateRequests > maxLateRequests ||
      waitedMilliseconds > totalMilliseconds * MAX_WAIT_FRACTION;
  }

  /**
   * Computes after how many milliseconds a refused caller should retry. The
   * delay has jitter, so that callers refused together do not retry together.
   */
  computeRetryAfter(waiting: number): number {
    const expected = MIN_RETRY_AFTER_MILLISECONDS +
      this.#computeExpectedWait(waiting);
    return Math.min(MAX_RETRY_AFTER_MILLISECONDS, expected) *
      this.#computeJitterFactor();
  }

  /**
   * Whether a long prompt should be refused. It may wait longer: its response
   * is still useful when late, and it uses no capacity of others meanwhile.
   */
  isLongPromptRefusalDue(wait: QueueWait): boolean {
    const { waitedMilliseconds, remainingMilliseconds, lateRequests } = wait;
    const totalMilliseconds = waitedMilliseconds + remainingMilliseconds;
    return lateRequests > MIN_WAITING_REQUESTS ||
      waitedMilliseconds > totalMilliseconds * MAX_LONG_PROMPT_WAIT_FRACTION;
  }

  /**
   * Whether a request over its share should be refused. If more requests wait
   * for spare capacity than are sent within the longest wait, some of them
   * cannot get any.
   */
  isOverShareRefusalDue(wait: SpareCapacityWait): boolean {
    const { waitedMilliseconds, objectiveMilliseconds, waiting } = wait;
    const maxWait = objectiveMilliseconds * MAX_SPARE_CAPACITY_WAIT_FRACTION;
    const sent = this.#grants.sum * maxWait / RATE_WINDOW_MILLISECONDS;
    return waitedMilliseconds >= maxWait ||
      waiting > Math.max(MIN_WAITING_REQUESTS, sent);
  }

  /**
   * Computes after how many milliseconds a request over its share should be
   * retried. Spare capacity is intermittent, so the retry comes early enough to
   * meet the objective.
   */
  computeOverShareRetryAfter(objectiveMilliseconds: number): number {
    return objectiveMilliseconds * OVER_SHARE_RETRY_AFTER_FRACTION *
      this.#computeJitterFactor();
  }

  #computeJitterFactor(): number {
    return 1 + RETRY_JITTER_FRACTION * this.#random.nextFraction();
  }

  /** Computes the wait behind queued requests from the recent send rate. */
  #computeExpectedWait(ahead: number): number {
    const grantsPerMillisecond = Math.max(1, this.#grants.sum) /
      RATE_WINDOW_MILLISECONDS;
    return ahead / grantsPerMillisecond;
  }
}
