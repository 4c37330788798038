/** Randomised round-robin order of probe targets. */

import type { RandomSource } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";

/**
 * Iterates over the candidates in rounds and reshuffles them before each round,
 * so that the gap between two probes of a VM is at most two rounds.
 */
export class ProbeOrder {
  readonly #random: RandomSource;
  #remaining: VmId[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Returns the next candidate, or undefined when there are none. */
  next(candidates: readonly VmId[]): VmId | undefined {
    const allowed = new Set(candidates);
    for (;;) {
      const vm = this.#remaining.pop();
      if (vm === undefined) {
        break;
      }
      if (allowed.has(vm)) {
        return vm;
      }
    }
    this.#remaining = this.#random.shuffle(candidates);
    return this.#remaining.pop();
  }
}
