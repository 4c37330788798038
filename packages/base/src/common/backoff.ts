/** Exponential back-off between retries. */

import type { RandomSource } from "./random.ts";

/** Bounds of an exponential back-off. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in milliseconds. */
  initialMilliseconds: number;
  /** Upper bound of every delay, in milliseconds. */
  maximumMilliseconds: number;
}

/**
 * Computes the delay before a retry, in milliseconds, with full jitter.
 * `attempt` counts previous retries, from 0.
 */
export function computeBackoff(
  attempt: number,
  options: BackoffOptions & { random: RandomSource },
): number {
  const uncappedMilliseconds = options.initialMilliseconds *
    2 ** Math.min(attempt, 30);
  const ceilingMilliseconds = Math.min(
    uncappedMilliseconds,
    options.maximumMilliseconds,
  );
  return ceilingMilliseconds * options.random.nextFraction();
}
