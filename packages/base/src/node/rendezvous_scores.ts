/** Scores of rendezvous hashing. */

import { createHash } from "node:crypto";

const SCORE_BYTES = 6;

/** Bounds the cache; it starts anew when it is full. */
const MAXIMUM_CACHED_SCORES = 65_536;

/** Scores candidates for a key, alike on every VM; the highest is taken. */
export class RendezvousScores {
  readonly #scores = new Map<string, number>();

  /** The score of a candidate for a key. */
  compute(key: string, candidate: string): number {
    const pair = `${key}\n${candidate}`;
    const known = this.#scores.get(pair);
    if (known !== undefined) {
      return known;
    }
    if (this.#scores.size >= MAXIMUM_CACHED_SCORES) {
      this.#scores.clear();
    }
    const digest = createHash("sha256").update(pair).digest();
    const score = digest.readUIntBE(0, SCORE_BYTES);
    this.#scores.set(pair, score);
    return score;
  }
}
