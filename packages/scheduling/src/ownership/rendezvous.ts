/** Which VM of a zone a pool falls to. */

import { createHash } from "node:crypto";
import { formatPool, type PoolId, type VmContact } from "@rattanvane/protocol";

const SCORE_BYTES = 6;

/** Bounds the cache; it starts anew when it is full. */
const MAXIMUM_CACHED_SCORES = 65_536;

/** Orders VMs by a hash of pool and VM, so that few pools move on a change. */
export class Rendezvous {
  readonly #scores = new Map<string, number>();

  /** Picks the VM with the highest score; undefined when there is none. */
  pick(pool: PoolId, vms: readonly VmContact[]): VmContact | undefined {
    const name = formatPool(pool);
    let best: VmContact | undefined;
    let bestScore = -1;
    for (const vm of vms) {
      const score = this.#computeScore(name, vm.vm);
      if (score > bestScore) {
        best = vm;
        bestScore = score;
      }
    }
    return best;
  }

  #computeScore(pool: string, vm: string): number {
    const key = `${pool}\n${vm}`;
    const known = this.#scores.get(key);
    if (known !== undefined) {
      return known;
    }
    if (this.#scores.size >= MAXIMUM_CACHED_SCORES) {
      this.#scores.clear();
    }
    const digest = createHash("sha256").update(key).digest();
    const score = digest.readUIntBE(0, SCORE_BYTES);
    this.#scores.set(key, score);
    return score;
  }
}
