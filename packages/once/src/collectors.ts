/** Which VMs of a zone write rows for the others. */

import { createHash } from "node:crypto";
import type { VmId } from "@rattanvane/protocol";

const HASH_BYTES = 4;

/**
 * Picks a zone's collectors. All VMs that see the same zone pick the same ones;
 * where views differ, more VMs write rows, which costs transactions only.
 */
export function pickCollectors(vms: readonly VmId[], count: number): VmId[] {
  return [...vms]
    .sort((first, second) => hashText(first) - hashText(second))
    .slice(0, count);
}

/** Picks the VM that writes a row; a collector writes its rows itself. */
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
