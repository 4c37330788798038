/** How much room those over their share get, by how streams fare. */

const LEAST_FACTOR = 0.6;
const HIGHEST_FACTOR = 1.5;
const GROWTH = 0.004;
const SHRINKAGE = 0.95;

/**
 * Grows a little with each stream that runs without a long pause and shrinks
 * with each one that does not: additive increase, multiplicative decrease.
 */
export class SpareRoom {
  #factor = 1;

  /** By how much the usual room to spare is multiplied. */
  get factor(): number {
    return this.#factor;
  }

  /** Notes how a stream went. */
  recordStream(isLate: boolean): void {
    const factor = isLate ? this.#factor * SHRINKAGE : this.#factor + GROWTH;
    this.#factor = Math.min(HIGHEST_FACTOR, Math.max(LEAST_FACTOR, factor));
  }
}
