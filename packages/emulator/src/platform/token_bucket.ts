/** The budget of calls a second. */

import type { Clock } from "@rattanvane/base";

const MILLISECONDS_PER_SECOND = 1000;

/** Allows so many calls a second, with bursts of up to one second's worth. */
export class TokenBucket {
  readonly #ratePerSecond: number;
  readonly #clock: Clock;
  #tokens: number;
  #filledAt: number;

  constructor(ratePerSecond: number, clock: Clock) {
    this.#ratePerSecond = ratePerSecond;
    this.#clock = clock;
    this.#tokens = ratePerSecond;
    this.#filledAt = clock.now();
  }

  /** Takes one token; returns 0, or the milliseconds until there is one. */
  take(): number {
    this.#fill();
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return 0;
    }
    const missing = 1 - this.#tokens;
    return (missing / this.#ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  #fill(): void {
    const now = this.#clock.now();
    const seconds = (now - this.#filledAt) / MILLISECONDS_PER_SECOND;
    this.#filledAt = now;
    this.#tokens = Math.min(
      this.#ratePerSecond,
      this.#tokens + seconds * this.#ratePerSecond,
    );
  }
}
