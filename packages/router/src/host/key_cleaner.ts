/** Removes expired rows of idempotency keys, on one VM of the fleet. */

import type { Clock, Logger } from "@rattanvane/base";
import type { FleetConfiguration } from "@rattanvane/configuration";
import type { Membership } from "@rattanvane/membership";
import { pickCollectors, RowCleaner, type RowWriter } from "@rattanvane/once";
import type { VmContact } from "@rattanvane/protocol";
import type { PlatformClients } from "./platform_clients.ts";

const PAGE_PAUSE_MILLISECONDS = 200;
const SCAN_PAUSE_MILLISECONDS = 10 * 60 * 1_000;

/** Dependencies of the cleaner. */
export interface KeyCleanerParts {
  self: VmContact;
  platform: Pick<PlatformClients, "table" | "objects">;
  rowWriter: RowWriter;
  membership: Pick<Membership, "listLive">;
  clock: Clock;
  logger: Logger;
  findConfiguration: () => FleetConfiguration | undefined;
}

/**
 * Creates the cleaner. It is active on one VM of the first zone that is not
 * drained. While the views of the VMs differ, two of them may scan the rows, or
 * none; both are harmless.
 */
export function createKeyCleaner(parts: KeyCleanerParts): RowCleaner {
  const { platform, rowWriter, clock, logger } = parts;
  return new RowCleaner({
    table: platform.table,
    objects: platform.objects,
    writer: rowWriter,
    clock,
    logger,
    isCleaner: () => isCleaner(parts),
    pagePauseMilliseconds: PAGE_PAUSE_MILLISECONDS,
    scanPauseMilliseconds: SCAN_PAUSE_MILLISECONDS,
  });
}

function isCleaner(parts: KeyCleanerParts): boolean {
  const { self, membership, findConfiguration } = parts;
  const zones = [...findConfiguration()?.zones.values() ?? []]
    .filter((zone) => !zone.drained)
    .map((zone) => zone.name)
    .sort();
  if (zones[0] !== self.zone) {
    return false;
  }
  const vms = membership.listLive(self.zone).map((contact) => contact.vm);
  return pickCollectors(vms, 1)[0] === self.vm;
}
