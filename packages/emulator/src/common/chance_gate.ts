/** Decides by a seeded chance whether a fault strikes. */

import { RandomSource } from "@rattanvane/base";

/** Strikes a fraction of the times that it is asked. */
export class ChanceGate {
  readonly #fraction: number;
  readonly #random: RandomSource;

  constructor(fraction: number, seed: number) {
    this.#fraction = fraction;
    this.#random = new RandomSource(seed);
  }

  /** Whether the fault strikes this time. */
  strikes(): boolean {
    return this.#fraction > 0 && this.#random.nextFraction() < this.#fraction;
  }
}
