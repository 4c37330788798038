/** Which VM of a zone a pool falls to. */

import { RendezvousScores } from "@rattanvane/base";
import { formatPool, type PoolId, type VmContact } from "@rattanvane/protocol";

/** Orders VMs by a hash of pool and VM, so that few pools move on a change. */
export class Rendezvous {
  readonly #scores = new RendezvousScores();

  /** Picks the VM with the highest score; undefined when there is none. */
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
