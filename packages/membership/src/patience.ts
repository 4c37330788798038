/** How long answers are waited for, by how late they have come lately. */

const LATE_FACTOR = 1.5;
const TIMELY_FACTOR = 0.95;
const LONGEST_FACTOR = 3;

/**
 * Lengthens the timeouts while answers come late: then the zone or this VM is
 * overloaded, and suspicions would only add to the load.
 */
export class Patience {
  #factor = 1;

  /** Notes an answer that came within its first timeout. */
  addTimely(): void {
    this.#factor = Math.max(1, this.#factor * TIMELY_FACTOR);
  }

  /** Notes an answer that came after its first timeout. */
  addLate(): void {
    this.#factor = Math.min(LONGEST_FACTOR, this.#factor * LATE_FACTOR);
  }

  /** Computes the present length of a timeout, in milliseconds. */
  computeTimeout(milliseconds: number): number {
    return milliseconds * this.#factor;
  }
}
