/** Configurations of large fleets. */

import { createHash } from "node:crypto";
import {
  createEmptyConfiguration,
  type Endpoint,
  type FleetConfiguration,
  type Organisation,
  type Service,
  ServiceKind,
  type Zone,
} from "@rattanvane/configuration";

const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
const ZONES_IN_FIRST_REGION = 3;
const SERVICES = 23;
const DEFAULT_ENDPOINTS = 2300;
const SLOTS = 40;
const QUEUE_LIMIT = 200_000;
const INITIAL_COST = 256;

/** Creates the configuration of a fleet of five zones and 23 models. */
export function createSampleConfiguration(
  organisations: number,
  endpoints = DEFAULT_ENDPOINTS,
): FleetConfiguration {
  const services = Array.from(
    { length: SERVICES },
    (_, index) => createService(`model-${String(index).padStart(2, "0")}`),
  );
  const names = services.map(({ name }) => name);
  return {
    ...createEmptyConfiguration(),
    version: 1,
    organisations: buildMap(
      Array.from(
        { length: organisations },
        (_, index) => createOrganisation(`organisation-${index}`, names),
      ),
    ),
    services: buildMap(services),
    zones: buildMap(ZONES.map(createZone)),
    endpoints: buildMap(
      Array.from(
        { length: endpoints },
        (_, index) => createEndpoint(index, names),
      ),
    ),
  };
}

function buildMap<Part extends { name: string }>(
  parts: readonly Part[],
): ReadonlyMap<string, Part> {
  return new Map(parts.map((part) => [part.name, part]));
}

function createOrganisation(name: string, services: string[]): Organisation {
  const keyHashes = [createHash("sha256").update(name).digest("hex")];
  return {
    name,
    weight: 1,
    keyHashes,
    services: services.slice(0, 3),
    queueLimit: QUEUE_LIMIT,
  };
}

function createService(name: string): Service {
  return {
    name,
    kind: ServiceKind.Model,
    repeatRules: [],
    initialCostEstimate: INITIAL_COST,
  };
}

function createZone(name: string, index: number): Zone {
  const region = index < ZONES_IN_FIRST_REGION ? "region-1" : "region-2";
  return { name, region, drained: false };
}

function createEndpoint(index: number, services: string[]): Endpoint {
  const zone = ZONES[index % ZONES.length] ?? "";
  const service = services[Math.floor(index / ZONES.length) % SERVICES] ?? "";
  return {
    name: `engine-${index}`,
    zone,
    service,
    url: `http://10.2.${Math.floor(index / 250)}.${index % 250}:8000`,
    coldLimit: SLOTS,
    limitCeiling: SLOTS,
    drained: false,
    checksFencing: false,
  };
}
