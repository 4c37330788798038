/** Writes the settings files of a fleet's routers. */

import { createHash } from "node:crypto";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { stringify } from "yaml";
import type { VisibleAddress } from "./fleet_network.ts";
import type { FleetOptions } from "./fleet_options.ts";
import type { RouterPlan } from "./fleet_plan.ts";

/** The callers of a local fleet notice at once that a VM is not ready. */
const SHUTDOWN_NOTICE_MILLISECONDS = 500;

/** A router and how the others see it. */
export interface RouterPlace {
  plan: RouterPlan;
  address: VisibleAddress;
  platformUrl: string;
}

/** Writes one router's file into a folder; returns its path. */
export async function writeRouterSettings(
  place: RouterPlace,
  options: {
    folder: string;
    fleet: FleetOptions;
    /** Where the routers of the fleet are; this one may be among them. */
    peers: readonly RouterPlace[];
  },
): Promise<string> {
  const path = join(options.folder, `${place.plan.vm}.yaml`);
  const settings = buildRouterSettings(place, options);
  await writeFile(path, stringify(settings));
  return path;
}

/** Hashes a key in the way that settings and configuration store it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

function buildRouterSettings(
  place: RouterPlace,
  options: { fleet: FleetOptions; peers: readonly RouterPlace[] },
): object {
  const { plan, address, platformUrl } = place;
  const { fleet } = options;
  const { platform = {}, ...sections } = fleet.routerSettings;
  return {
    vm: plan.vm,
    zone: plan.zone,
    region: fleet.region,
    listen: {
      host: plan.host,
      callerPort: plan.callerPort,
      controlPort: plan.controlPort,
    },
    advertise: address,
    platform: { url: platformUrl, ...(platform as object) },
    fleetKeys: [fleet.fleetKey],
    operatorKeyHashes: [hashKey(fleet.operatorKey)],
    peers: options.peers
      .filter((peer) => peer.plan.vm !== plan.vm)
      .map((peer) => ({
        vm: peer.plan.vm,
        zone: peer.plan.zone,
        ...peer.address,
      })),
    log: { level: fleet.logLevel },
    seed: fleet.seed,
    shutdown: { noticeMilliseconds: SHUTDOWN_NOTICE_MILLISECONDS },
    ...sections,
  };
}
