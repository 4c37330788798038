/** The order in which VMs are probed. */

import type { RandomSource } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";

/**
 * Goes round the candidates in a random order that is drawn anew each time, so
 * that no VM goes unprobed for longer than two rounds.
 */
export class ProbeOrder {
  readonly #random: RandomSource;
  #remaining: VmId[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Picks the next of the candidates; undefined when there are none. */
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
