/** Rendezvous hashing of pools over VMs. */

import { createHash } from "node:crypto";
import { formatPool, type PoolId, type VmContact } from "@rattanvane/protocol";

interface ScoredVm {
  contact: VmContact;
  score: string;
}

/** Ranks VMs for a pool: the first schedules it, the next ones follow. */
export function rankVms(
  pool: PoolId,
  vms: readonly VmContact[],
): VmContact[] {
  const key = formatPool(pool);
  const scored: ScoredVm[] = vms.map((contact) => ({
    contact,
    score: createHash("sha256").update(`${key}\n${contact.vm}`).digest("hex"),
  }));
  scored.sort((first, second) => first.score < second.score ? 1 : -1);
  return scored.map(({ contact }) => contact);
}
