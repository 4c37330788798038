/** A token bucket that limits the rate of calls of one kind. */

import type { Clock } from "@rattanvane/base";

const MILLISECONDS_PER_SECOND = 1_000;

/** Settings of a token bucket. */
export interface TokenBucketOptions {
  clock: Clock;
  ratePerSecond: number;
  /** The capacity: the most tokens that accumulate while no call is made. */
  burst: number;
  /** The tokens at the start; few of them spread out the calls of a mass restart. */
  initialTokens: number;
}

/** Issues tokens at a steady rate; a reservation may include a wait. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #burst: number;
  #ratePerSecond: number;
  #tokens: number;
  #updatedAt: number;

  constructor(options: TokenBucketOptions) {
    this.#clock = options.clock;
    this.#burst = options.burst;
    this.#ratePerSecond = options.ratePerSecond;
    this.#tokens = Math.min(options.initialTokens, options.burst);
    this.#updatedAt = options.clock.now();
  }

  /** Changes the rate, for example when the fleet grows. */
  updateRate(ratePerSecond: number): void {
    this.#refill();
    this.#ratePerSecond = ratePerSecond;
  }

  /**
   * Reserves one token and returns the wait until it is available, in
   * milliseconds; if that exceeds the given maximum, returns undefined and
   * reserves nothing.
   */
  reserve(maxWaitMilliseconds: number): number | undefined {
    this.#refill();
    const missing = 1 - this.#tokens;
    const wait = missing <= 0
      ? 0
      : (missing / this.#ratePerSecond) * MILLISECONDS_PER_SECOND;
    if (wait > maxWaitMilliseconds) {
      return undefined;
    }
    this.#tokens -= 1;
    return wait;
  }

  #refill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#updatedAt) / MILLISECONDS_PER_SECOND;
    this.#updatedAt = now;
    const refilled = this.#tokens + seconds * this.#ratePerSecond;
    this.#tokens = Math.min(refilled, this.#burst);
  }
}
