/** Rendezvous (highest random weight) hashing. */

import { createHash } from "node:crypto";

const SCORE_BYTES = 6;

/** Maximum size of the cache, which is cleared when it is full. */
const MAXIMUM_CACHED_SCORES = 65_536;

/**
 * Computes cached rendezvous scores. Scores are identical on every VM; the
 * candidate with the highest score is selected.
 */
export class RendezvousScores {
  readonly #cache = new Map<string, number>();

  /** Computes the score of a candidate for a key, an integer below 2^48. */
  compute(key: string, candidate: string): number {
    const pair = `${key}\n${candidate}`;
    const cached = this.#cache.get(pair);
    if (cached !== undefined) {
      return cached;
    }
    if (this.#cache.size >= MAXIMUM_CACHED_SCORES) {
      this.#cache.clear();
    }
    const digest = createHash("sha256").update(pair).digest();
    const score = digest.readUIntBE(0, SCORE_BYTES);
    this.#cache.set(pair, score);
    return score;
  }
}
