/** Registry of the highest known term of each pool. */

import { Emitter } from "@rattanvane/base";
import {
  compareTerms,
  formatPool,
  type PoolId,
  type PoolTerm,
  type Term,
} from "@rattanvane/protocol";

/**
 * Tracks which VM schedules each pool, so that an ingress can distinguish
 * grants of the current term from those of an older one.
 */
export class TermRegistry {
  /** Emits each recorded term that is newer than the known one of its pool. */
  readonly changes = new Emitter<PoolTerm>();
  readonly #terms = new Map<string, PoolTerm>();

  /** Records a term; returns false when it is not newer than the known one. */
  record(poolTerm: PoolTerm): boolean {
    const key = formatPool(poolTerm.pool);
    const known = this.#terms.get(key);
    if (known !== undefined && compareTerms(poolTerm.term, known.term) <= 0) {
      return false;
    }
    this.#terms.set(key, poolTerm);
    this.changes.emit(poolTerm);
    return true;
  }

  /** Finds the highest known term of a pool. */
  find(pool: PoolId): PoolTerm | undefined {
    return this.#terms.get(formatPool(pool));
  }

  /** Whether no higher term of the pool than `term` is known. */
  isCurrent(pool: PoolId, term: Term): boolean {
    const known = this.find(pool);
    return known === undefined || compareTerms(term, known.term) >= 0;
  }

  /** Lists the highest known terms of all pools. */
  list(): PoolTerm[] {
    return [...this.#terms.values()];
  }

  /** Removes all pools but those given, which are the configured ones. */
  retainOnly(pools: readonly PoolId[]): void {
    const kept = new Set(pools.map(formatPool));
    for (const key of this.#terms.keys()) {
      if (!kept.has(key)) {
        this.#terms.delete(key);
      }
    }
  }
}
