/** Delays between retries. */

import type { RandomSource } from "./random.ts";

/** Settings of an exponential delay. */
export interface BackoffOptions {
  /** The first delay, in milliseconds. */
  initialMilliseconds: number;
  /** The longest delay, in milliseconds. */
  maximumMilliseconds: number;
}

/** Computes the delay before a retry, in milliseconds, with full jitter. */
export function computeBackoff(
  attempt: number,
  options: BackoffOptions & { random: RandomSource },
): number {
  const exponential = options.initialMilliseconds * 2 ** Math.min(attempt, 30);
  const ceiling = Math.min(exponential, options.maximumMilliseconds);
  return ceiling * options.random.nextFraction();
}
