/** Creates the writer that sends table rows to the collectors of the zone. */

import { randomUUID } from "node:crypto";
import type { Clock, RandomSource } from "@rattanvane/base";
import type { Membership } from "@rattanvane/membership";
import {
  ForwardingRowWriter,
  LocalRowWriter,
  pickCollector,
  pickCollectors,
} from "@rattanvane/once";
import type { PeerNetwork } from "@rattanvane/protocol";
import type { RouterSettings } from "@rattanvane/settings";
import type { PlatformClients } from "./platform_clients.ts";

/** The number of VMs in a zone that write rows on behalf of the others. */
const COLLECTORS_PER_ZONE = 2;
/** A collector may have to retry a transaction before it knows the result. */
const PLATFORM_CALLS_PER_ROW = 3;

/** Dependencies of the writer. */
export interface RowWriterParts {
  platform: PlatformClients;
  network: PeerNetwork;
  membership: Membership;
  clock: Clock;
  random: RandomSource;
}

/** Creates the writer that batches the rows of a zone's VMs in transactions. */
export function createRowWriter(
  settings: RouterSettings,
  parts: RowWriterParts,
  signal: AbortSignal,
): ForwardingRowWriter {
  const { vm, zone, platform, once } = settings;
  const { clock, random, membership, network } = parts;
  const correlationPrefix = `${vm}/${randomUUID()}`;
  const local = new LocalRowWriter({
    table: parts.platform.table,
    clock,
    random,
    writerId: correlationPrefix,
    batchMilliseconds: once.batchMilliseconds,
  }, signal);
  return new ForwardingRowWriter({
    self: vm,
    correlationPrefix,
    sender: network,
    clock,
    local,
    findCollector: (key) => {
      const vms = membership.listLive(zone).map((contact) => contact.vm);
      const collectors = pickCollectors(vms, COLLECTORS_PER_ZONE);
      return pickCollector(key, { self: vm, collectors });
    },
    timeoutMilliseconds: PLATFORM_CALLS_PER_ROW *
      platform.requestTimeoutMilliseconds,
  }, signal);
}
