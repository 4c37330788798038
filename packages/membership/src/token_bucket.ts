/** Bounds how often something is done, with room for bursts. */

import type { Clock } from "@rattanvane/base";

const MILLISECONDS_PER_SECOND = 1_000;

/** How much a bucket allows. */
export interface TokenBucketOptions {
  clock: Clock;
  /** The most that may be taken at once. */
  burst: number;
  /** What may be taken in the long run. */
  perSecond: number;
}

/** Gives out tokens, and grows new ones as time passes. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #tokens: number;
  #refilledAt: number;

  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now();
  }

  /** Takes as many tokens as there are, up to `count`; returns how many. */
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
