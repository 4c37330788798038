/** Chance with a seed, so that a run can be repeated. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const FRACTION_STEPS = 0x7fffffff;

/** A seeded source of random numbers. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number from `low` to `high`, both included. */
  nextInteger(low: number, high: number): number {
    return uniformInt(this.#generator, low, high);
  }

  /** A number from 0 up to, but not including, 1. */
  nextFraction(): number {
    return this.nextInteger(0, FRACTION_STEPS - 1) / FRACTION_STEPS;
  }

  /** One of the items, or undefined when there are none. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    if (items.length === 0) {
      return undefined;
    }
    return items[this.nextInteger(0, items.length - 1)];
  }

  /** The items in a random order; the argument is left alone. */
  shuffle<Item>(items: readonly Item[]): Item[] {
    const shuffled = [...items];
    for (let last = shuffled.length - 1; last > 0; last--) {
      const other = this.nextInteger(0, last);
      const moved = shuffled[last] as Item;
      shuffled[last] = shuffled[other] as Item;
      shuffled[other] = moved;
    }
    return shuffled;
  }
}
