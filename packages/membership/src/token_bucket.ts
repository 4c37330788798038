/** Token bucket that limits a rate and permits bursts. */

import type { Clock } from "@rattanvane/base";

const MILLISECONDS_PER_SECOND = 1_000;

/** Capacity and refill rate of a {@link TokenBucket}. */
export interface TokenBucketOptions {
  clock: Clock;
  /** Capacity: the maximum number of tokens that can be taken at once. */
  burst: number;
  /** Tokens added per second. */
  perSecond: number;
}

/** Starts full and is refilled continuously up to its capacity. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #tokens: number;
  #refilledAt: number;

  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now();
  }

  /**
   * Takes up to `count` whole tokens, as many as available; returns their
   * number.
   */
  take(count: number): number {
    const { clock, burst, perSecond } = this.#options;
    const now = clock.now();
    const elapsed = (now - this.#refilledAt) / MILLISECONDS_PER_SECOND;
    this.#tokens = Math.min(burst, this.#tokens + elapsed * perSecond);
    this.#refilledAt = now;
    const taken = Math.min(count, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }
}
