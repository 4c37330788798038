/** What a local fleet is made of. */

import type { EmulatorOptions } from "./emulator_process.ts";
import { RATTANVANE_PROGRAM } from "./programs.ts";

/** An organisation and the bearer key of its callers. */
export interface FleetOrganisation {
  name: string;
  weight: number;
  key: string;
  queueLimit: number;
}

/** The shape of a fleet and the settings of its processes. */
export interface FleetOptions {
  /** Named `zone-X`; X goes into the names of its VMs and endpoints. */
  zones: readonly string[];
  region: string;
  routersPerZone: number;
  enginesPerZone: number;
  plainServicesPerZone: number;
  /** Whether all traffic but the callers' goes through the proxy. */
  proxied: boolean;
  organisations: readonly FleetOrganisation[];
  /** Command line options of the stand-ins. */
  platform: EmulatorOptions;
  engine: EmulatorOptions;
  plain: EmulatorOptions;
  /** What the configuration says of each engine's limits. */
  engineLimits: EndpointLimits;
  plainLimits: EndpointLimits;
  /** Sections that are added to each router's settings file. */
  routerSettings: Record<string, unknown>;
  /** The JavaScript file of the routers. */
  routerProgram: string;
  fleetKey: string;
  operatorKey: string;
  logLevel: string;
  seed: number;
}

/** The limits of an endpoint in the configuration. */
export interface EndpointLimits {
  coldLimit: number;
  limitCeiling: number;
}

/** The model that the engines serve. */
export const MODEL_SERVICE = "assistant";

/** The plain service. */
export const PLAIN_SERVICE = "orders";

/** Creates the options of a fleet of three zones. */
export function createFleetOptions(
  changes: Partial<FleetOptions> = {},
): FleetOptions {
  return {
    zones: ["zone-a", "zone-b", "zone-c"],
    region: "region-1",
    routersPerZone: 2,
    enginesPerZone: 2,
    plainServicesPerZone: 1,
    proxied: false,
    organisations: [createOrganisation("bakery"), createOrganisation("depot")],
    platform: { "vm-list-lag-ms": 500 },
    engine: { "slots": 8, "cold-slots": 2 },
    plain: { "slots": 16 },
    engineLimits: { coldLimit: 2, limitCeiling: 8 },
    plainLimits: { coldLimit: 16, limitCeiling: 16 },
    routerSettings: {},
    routerProgram: RATTANVANE_PROGRAM,
    fleetKey: "a fleet key that is used in tests only",
    operatorKey: "operator-key-that-is-used-in-tests-only",
    logLevel: "info",
    seed: 1,
    ...changes,
  };
}

/** Creates an organisation of weight 1 with a key made of its name. */
export function createOrganisation(
  name: string,
  changes: Partial<FleetOrganisation> = {},
): FleetOrganisation {
  return {
    name,
    weight: 1,
    key: `key-of-${name}`,
    queueLimit: 1000,
    ...changes,
  };
}
