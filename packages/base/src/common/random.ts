/** Seeded pseudo-random numbers, which make a run reproducible. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FRACTION_STEPS = 0x7fffffff;

/** A seeded pseudo-random number generator; not for cryptographic use. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `low` to `high`, both inclusive. */
  nextInteger(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFraction(): number {
    return this.nextInteger(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** Returns a random item, or undefined if there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    if (items.length === 0) {
      return undefined;
    }
    return items[this.nextInteger(0, items.length - 1)];
  }

  /** Returns a shuffled copy of the items; the argument is not modified. */
  shuffle<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let last = shuffled.length - 1; last > 0; last--) {
      const other = this.nextInteger(0, last);
      const swapped = shuffled[last] as Item;
      shuffled[last] = shuffled[other] as Item;
      shuffled[other] = swapped;
    }
    return shuffled;
  }
}
