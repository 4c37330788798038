/** When waiting has become pointless, and when a caller should come back. */

import type { Clock, RandomSource } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

const RATE_WINDOW_MILLISECONDS = 1_000;
/** So many may always wait. */
const LEAST_QUEUE = 4;
/** Late requests that may wait, as a part of those sent in a second. */
const LATE_SHARE = 0.5;
/** The part of its time that a request waits for an endpoint. */
const LONGEST_WAIT_SHARE = 0.08;
const LEAST_RETRY_AFTER_MILLISECONDS = 250;
const LONGEST_RETRY_AFTER_MILLISECONDS = 2_000;
/** The part of its time that a long prompt waits for its few engines. */
const LONGEST_LONG_WAIT_SHARE = 0.2;
/** The part of the objective that a request waits for room to spare. */
const LONGEST_SPARE_WAIT_SHARE = 0.12;
/** When to come back for room to spare, as a part of the objective. */
const SPARE_RETRY_AFTER_SHARE = 0.35;
const SPREAD_SHARE = 0.5;

/** A request that waits and has no endpoint. */
export interface WaitSituation {
  waitedMilliseconds: number;
  /** Until its caller must have the final answer. */
  leftMilliseconds: number;
  /** How many requests wait beyond their objective; 0 for one that does not. */
  late: number;
}

/** A request that waits for room to spare. */
export interface SpareSituation {
  waitedMilliseconds: number;
  objectiveMilliseconds: number;
  /** How many requests wait for room to spare, with this one. */
  waiting: number;
}

/** Predicts waits from how fast the queue moves. */
export class RefusalPolicy {
  readonly #grants: SlidingSum;
  readonly #random: RandomSource;

  constructor(clock: Clock, random: RandomSource) {
    this.#random = random;
    this.#grants = new SlidingSum(clock, RATE_WINDOW_MILLISECONDS);
  }

  /** Notes that a request has left the queue for an endpoint. */
  recordGrant(): void {
    this.#grants.add(1);
  }

  /**
   * Whether a request should be refused. Late answers are worth little, so
   * only as many wait for one as can be expected to get it soon.
   */
  isHopeless(situation: WaitSituation): boolean {
    const { waitedMilliseconds, leftMilliseconds, late } = situation;
    const mostLate = Math.max(LEAST_QUEUE, this.#grants.sum * LATE_SHARE);
    const wholeMilliseconds = waitedMilliseconds + leftMilliseconds;
    return late > mostLate ||
      waitedMilliseconds > wholeMilliseconds * LONGEST_WAIT_SHARE;
  }

  /**
   * When a refused caller should come back, in milliseconds; spread, so that
   * those refused together do not return together.
   */
  computeRetryAfter(waiting: number): number {
    const wait = LEAST_RETRY_AFTER_MILLISECONDS + this.#predictWait(waiting);
    return Math.min(LONGEST_RETRY_AFTER_MILLISECONDS, wait) * this.#spread();
  }

  /**
   * Whether a long prompt should be refused. Its answer is wanted late too, and
   * it takes nothing from the others while it waits.
   */
  isHopelessForLong(situation: WaitSituation): boolean {
    const { waitedMilliseconds, leftMilliseconds, late } = situation;
    const wholeMilliseconds = waitedMilliseconds + leftMilliseconds;
    return late > LEAST_QUEUE ||
      waitedMilliseconds > wholeMilliseconds * LONGEST_LONG_WAIT_SHARE;
  }

  /**
   * Whether a request should wait no longer for room to spare. More of them
   * than are sent within such a wait cannot all get any.
   */
  isHopelessForSpare(situation: SpareSituation): boolean {
    const { waitedMilliseconds, objectiveMilliseconds, waiting } = situation;
    const longest = objectiveMilliseconds * LONGEST_SPARE_WAIT_SHARE;
    const sent = this.#grants.sum * longest / RATE_WINDOW_MILLISECONDS;
    return waitedMilliseconds >= longest ||
      waiting > Math.max(LEAST_QUEUE, sent);
  }

  /**
   * When the request of an organisation that is over its share should come
   * back, in milliseconds: room to spare comes and goes, so early enough for
   * its objective.
   */
  computeSpareRetryAfter(objectiveMilliseconds: number): number {
    return objectiveMilliseconds * SPARE_RETRY_AFTER_SHARE * this.#spread();
  }

  #spread(): number {
    return 1 + SPREAD_SHARE * this.#random.nextFraction();
  }

  #predictWait(ahead: number): number {
    const perMillisecond = Math.max(1, this.#grants.sum) /
      RATE_WINDOW_MILLISECONDS;
    return ahead / perMillisecond;
  }
}
