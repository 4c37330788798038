/** A rate limit for calls of one kind. */

import type { Clock } from "@rattanvane/base";

const MILLISECONDS_PER_SECOND = 1_000;

/** Settings of a token bucket. */
export interface TokenBucketOptions {
  clock: Clock;
  ratePerSecond: number;
  /** The most tokens that are saved up while nothing is called. */
  burst: number;
  /** What the bucket starts with, so that a mass restart is spread out. */
  initialTokens: number;
}

/** Hands out tokens at a steady rate; a taker may be told to wait. */
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
   * Reserves one token and returns the wait until it is there, in
   * milliseconds; undefined, with nothing reserved, when that is too long.
   */
  reserve(longestWaitMilliseconds: number): number | undefined {
    this.#refill();
    const missing = 1 - this.#tokens;
    const wait = missing <= 0
      ? 0
      : (missing / this.#ratePerSecond) * MILLISECONDS_PER_SECOND;
    if (wait > longestWaitMilliseconds) {
      return undefined;
    }
    this.#tokens -= 1;
    return wait;
  }

  #refill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#updatedAt) / MILLISECONDS_PER_SECOND;
    this.#updatedAt = now;
    const grown = this.#tokens + seconds * this.#ratePerSecond;
    this.#tokens = Math.min(grown, this.#burst);
  }
}
