/** Schedules the pools that rendezvous hashing gives to this VM. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId } from "@rattanvane/protocol";
import { rankVms } from "@rattanvane/scheduling";
import type { RouterParts } from "../router_parts.ts";
import { listZonePools } from "./service_pools.ts";

const PERIOD_MILLISECONDS = 300;

/** Takes pools over as membership changes, until the signal aborts. */
export async function runHashedRoles(
  parts: RouterParts,
  clock: Clock,
  signal: AbortSignal,
): Promise<void> {
  const { self } = parts;
  while (!signal.aborted) {
    const configuration = parts.findConfiguration();
    for (const pool of listZonePools(self.zone, configuration)) {
      updateRole(parts, pool, signal);
    }
    await clock.sleep(PERIOD_MILLISECONDS, signal);
  }
}

function updateRole(
  parts: RouterParts,
  pool: PoolId,
  signal: AbortSignal,
): void {
  const { self, membership, terms, host } = parts;
  const first = rankVms(pool, membership.listLive(pool.zone))[0];
  const held = host.isHosting(pool);
  const newest = terms.find(pool);
  if (held && newest !== undefined && newest.term.holder !== self.vm) {
    host.stop(pool);
    return;
  }
  if (held || first?.vm !== self.vm) {
    return;
  }
  const number = (newest?.term.number ?? 0) + 1;
  const term = { number, holder: self.vm };
  parts.logger.info("schedules a pool from now on", {
    pool: formatPool(pool),
    term: number,
  });
  terms.learn({ pool, term, contact: self });
  host.start(pool, { term, leased: true }, signal);
}
