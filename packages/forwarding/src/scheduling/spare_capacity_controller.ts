/** Adapts the capacity for organisations over their share to stream latency. */

const MIN_FACTOR = 0.6;
const MAX_FACTOR = 1.5;
const ADDITIVE_INCREASE = 0.004;
const DECREASE_FACTOR = 0.95;

/**
 * Increases the factor with each stream whose events arrived in time, and
 * decreases it with each stream that stalled: additive increase, multiplicative
 * decrease.
 */
export class SpareCapacityController {
  #factor = 1;

  /** Scales the default limits of organisations over their share. */
  get factor(): number {
    return this.#factor;
  }

  /** Records a finished stream, and whether one of its events was late. */
  recordStream(isLate: boolean): void {
    const factor = isLate
      ? this.#factor * DECREASE_FACTOR
      : this.#factor + ADDITIVE_INCREASE;
    this.#factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }
}
