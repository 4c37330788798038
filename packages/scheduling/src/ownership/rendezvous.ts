/** Assignment of pools to VMs by rendezvous hashing. */

import { RendezvousScores } from "@rattanvane/base";
import { formatPool, type PoolId, type VmContact } from "@rattanvane/protocol";

/**
 * Ranks VMs by a hash of pool and VM, so that few pools move when the set of
 * VMs changes.
 */
export class Rendezvous {
  readonly #scores = new RendezvousScores();

  /** Picks the VM with the highest score; undefined when `vms` is empty. */
  pick(pool: PoolId, vms: readonly VmContact[]): VmContact | undefined {
    const name = formatPool(pool);
    let best: VmContact | undefined;
    let bestScore = -1;
    for (const vm of vms) {
      const score = this.#scores.compute(name, vm.vm);
      if (score > bestScore) {
        best = vm;
        bestScore = score;
      }
    }
    return best;
  }
}
