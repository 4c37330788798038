/** The writer of table rows, by way of the zone's collectors. */

import { randomUUID } from "node:crypto";
import type { Clock, RandomSource } from "@rattanvane/base";
import type { Membership } from "@rattanvane/membership";
import {
  CollectedRowWriter,
  LocalRowWriter,
  pickCollector,
  pickCollectors,
} from "@rattanvane/once";
import type { PeerNetwork } from "@rattanvane/protocol";
import type { RouterSettings } from "@rattanvane/settings";
import type { PlatformClients } from "./platform_clients.ts";

/** How many VMs of a zone write rows for the others. */
const COLLECTORS_IN_A_ZONE = 2;
/** A collector may have to try a transaction again before it knows. */
const PLATFORM_CALLS_OF_A_ROW = 3;

/** What the writer works with. */
export interface RowWriterParts {
  platform: PlatformClients;
  network: PeerNetwork;
  membership: Membership;
  clock: Clock;
  random: RandomSource;
}

/** Creates the writer through which a zone's VMs share transactions. */
export function createRowWriter(
  settings: RouterSettings,
  parts: RowWriterParts,
  signal: AbortSignal,
): CollectedRowWriter {
  const { vm, zone, platform, once } = settings;
  const { clock, random, membership, network } = parts;
  const process = `${vm}/${randomUUID()}`;
  const local = new LocalRowWriter({
    table: parts.platform.table,
    clock,
    random,
    writer: process,
    batchMilliseconds: once.batchMilliseconds,
  }, signal);
  return new CollectedRowWriter({
    self: vm,
    process,
    sender: network,
    clock,
    local,
    findCollector: (key) => {
      const vms = membership.listLive(zone).map((contact) => contact.vm);
      const collectors = pickCollectors(vms, COLLECTORS_IN_A_ZONE);
      return pickCollector(key, { self: vm, collectors });
    },
    timeoutMilliseconds: PLATFORM_CALLS_OF_A_ROW *
      platform.requestTimeoutMilliseconds,
  }, signal);
}
