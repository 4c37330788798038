/** Builds the configuration and the fake endpoints of a simulation. */

import {
  createEmptyConfiguration,
  type Endpoint,
  type FleetConfiguration,
  type Organisation,
  ServiceKind,
  type Zone,
} from "@rattanvane/configuration";
import { FakeEndpoint, type FakeEndpointOptions } from "./fake_endpoint.ts";

/** The service that all simulations use. */
export const SERVICE = "model";

const INITIAL_COST = 500;
const QUEUE_LIMIT = 20_000;

/** The numbers of VMs and endpoints in a zone. */
export interface ZoneOptions {
  zone: string;
  vms: number;
  endpoints: number;
  endpoint?: Partial<FakeEndpointOptions>;
}

/** The zones and organisations of a configuration. */
export interface WorldConfigurationOptions {
  zones: readonly ZoneOptions[];
  /** Weights by organisation; the default is 1. */
  weights?: Readonly<Record<string, number>>;
  /** The maximum number of waiting requests by organisation. */
  queueLimits?: Readonly<Record<string, number>>;
}

/** Builds the endpoints of a zone, named `ZONE-eINDEX`. */
export function buildEndpoints(zone: ZoneOptions): FakeEndpoint[] {
  const endpoints: FakeEndpoint[] = [];
  for (let index = 0; index < zone.endpoints; index++) {
    const options = {
      slots: 4,
      coldSlots: 4,
      warmUpMilliseconds: 1000,
      reportLagMilliseconds: 300,
      downMilliseconds: 1000,
      ...zone.endpoint,
      name: `${zone.zone}-e${index}`,
    };
    endpoints.push(new FakeEndpoint(options, 0));
  }
  return endpoints;
}

/** Builds the fleet configuration for the given endpoints. */
export function buildConfiguration(
  options: WorldConfigurationOptions,
  fakes: Iterable<FakeEndpoint>,
): FleetConfiguration {
  const service = {
    name: SERVICE,
    kind: ServiceKind.Model,
    repeatRules: [],
    initialCostEstimate: INITIAL_COST,
  };
  const zones = new Map<string, Zone>();
  for (const { zone } of options.zones) {
    zones.set(zone, { name: zone, region: "r", drained: false });
  }
  const endpoints = new Map<string, Endpoint>();
  for (const fake of fakes) {
    endpoints.set(fake.options.name, buildEndpoint(fake));
  }
  return {
    ...createEmptyConfiguration(),
    version: 1,
    zones,
    endpoints,
    services: new Map([[SERVICE, service]]),
    organisations: buildOrganisations(options),
  };
}

function buildEndpoint({ options }: FakeEndpoint): Endpoint {
  return {
    name: options.name,
    zone: options.name.split("-")[0] as string,
    service: SERVICE,
    url: "",
    coldLimit: options.coldSlots,
    limitCeiling: options.slots,
    drained: false,
    checksFencing: true,
  };
}

function buildOrganisations(
  options: WorldConfigurationOptions,
): Map<string, Organisation> {
  const { weights = {}, queueLimits = {} } = options;
  const organisations = new Map<string, Organisation>();
  for (const name of Object.keys({ ...weights, ...queueLimits })) {
    organisations.set(name, {
      name,
      weight: weights[name] ?? 1,
      keyHashes: [],
      services: [SERVICE],
      queueLimit: queueLimits[name] ?? QUEUE_LIMIT,
    });
  }
  return organisations;
}
