/** Keeps schedulers that have read the same reports from moving together. */

import { computePairScore, type RandomSource } from "@rattanvane/base";
import type { EndpointState } from "./endpoint_state.ts";

const HASH_RANGE = 2 ** 32;
/** The largest relative difference of costs that chance decides on. */
const MAX_SPREAD = 0.5;

/**
 * Factors on the costs of one choice. The less a report still says, the more
 * schedulers have used it already, and the more chance decides.
 */
export class ChoiceSpread {
  readonly #seed: number;

  constructor(random: RandomSource) {
    this.#seed = random.nextInteger(0, HASH_RANGE - 1);
  }

  /** Computes the factor of an endpoint, at least 1. */
  computeFactor({ idHash, speed }: EndpointState): number {
    const chance = computePairScore(this.#seed, idHash) / HASH_RANGE;
    return 1 + MAX_SPREAD * (1 - speed.certainty) * chance;
  }
}
