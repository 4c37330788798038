/** Picks the collectors: VMs that batch the row writes of their zone. */

import { createHash } from "node:crypto";
import type { VmId } from "@rattanvane/protocol";

const HASH_BYTES = 4;

/**
 * Picks a zone's collectors. VMs with the same view of the zone pick the same
 * ones. Where views differ, more VMs than `count` write rows, which only costs
 * more transactions.
 */
export function pickCollectors(vms: readonly VmId[], count: number): VmId[] {
  return [...vms]
    .sort((first, second) => hashText(first) - hashText(second))
    .slice(0, count);
}

/** Picks the VM that writes a row. A collector writes its own rows itself. */
export function pickCollector(
  key: string,
  options: { self: VmId; collectors: readonly VmId[] },
): VmId {
  const { self, collectors } = options;
  if (collectors.includes(self)) {
    return self;
  }
  return collectors[hashText(key) % collectors.length] ?? self;
}

function hashText(text: string): number {
  const digest = createHash("sha256").update(text).digest();
  return digest.readUIntBE(0, HASH_BYTES);
}
