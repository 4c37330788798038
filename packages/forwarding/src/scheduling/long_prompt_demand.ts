/** Measures how much of the prefill time is asked for by long prompts. */

import type { Clock } from "@rattanvane/base";
import { SlidingSum } from "./sliding_window.ts";

const WINDOW_MILLISECONDS = 4_000;
/** With less prefill time in the window, the fraction is not known. */
const MIN_PREFILL_MILLISECONDS = 1_000;
/**
 * How many more engines other prompts need for the same prefill time. Engines
 * for long prompts read all the time; others read only as much as their streams
 * allow, and their tokens take most of the time.
 */
const DEFAULT_OTHER_ENGINES_FACTOR = 5;
const MAX_ENGINE_FRACTION = 0.4;

/**
 * Computes the fraction of the engines that long prompts need to be served as
 * often as others. Load: more prompts than the engines can read.
 */
export class LongPromptDemand {
  readonly #long: SlidingSum;
  readonly #other: SlidingSum;
  readonly #otherEnginesFactor: number;

  constructor(
    clock: Clock,
    otherEnginesFactor = DEFAULT_OTHER_ENGINES_FACTOR,
  ) {
    this.#otherEnginesFactor = otherEnginesFactor;
    this.#long = new SlidingSum(clock, WINDOW_MILLISECONDS);
    this.#other = new SlidingSum(clock, WINDOW_MILLISECONDS);
  }

  /** Records the prefill time of a prompt that was asked for. */
  record(prefillMilliseconds: number, isLong: boolean): void {
    (isLong ? this.#long : this.#other).add(prefillMilliseconds);
  }

  /** The fraction of the engines, 0 to 0.4; 0 while it is not known. */
  get engineFraction(): number {
    const long = this.#long.sum;
    const other = this.#other.sum;
    return long + other < MIN_PREFILL_MILLISECONDS ? 0 : Math.min(
      MAX_ENGINE_FRACTION,
      long / (long + other * this.#otherEnginesFactor),
    );
  }
}
