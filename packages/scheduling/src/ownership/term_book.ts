/** The newest known term of each pool. */

import { Emitter } from "@rattanvane/base";
import {
  compareTerms,
  formatPool,
  type PoolId,
  type PoolTerm,
} from "@rattanvane/protocol";

/** Remembers the highest term of each pool and who holds it. */
export class TermBook {
  /** Tells of each newer term. */
  readonly changes = new Emitter<PoolTerm>();
  readonly #terms = new Map<string, PoolTerm>();

  /** Takes a term in; false when it is not newer than the known one. */
  learn(term: PoolTerm): boolean {
    const key = formatPool(term.pool);
    const known = this.#terms.get(key);
    if (known !== undefined && compareTerms(term.term, known.term) <= 0) {
      return false;
    }
    this.#terms.set(key, term);
    this.changes.emit(term);
    return true;
  }

  /** Finds a pool's newest term. */
  find(pool: PoolId): PoolTerm | undefined {
    return this.#terms.get(formatPool(pool));
  }

  /** Lists the newest terms of all pools. */
  list(): PoolTerm[] {
    return [...this.#terms.values()];
  }
}
