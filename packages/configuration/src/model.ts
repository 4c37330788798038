/** The in-memory model of the fleet's configuration. */

/** The type of back end behind a service. */
export enum ServiceKind {
  Model = "model",
  Plain = "plain",
}

/** An organisation that shares the fleet's capacity. */
export interface Organisation {
  name: string;
  /** Its share of capacity relative to other organisations; above 0. */
  weight: number;
  /** Hexadecimal SHA-256 hashes of its bearer keys. */
  keyHashes: string[];
  /** The names of the services that it is allowed to call. */
  services: string[];
  /** The maximum number of its requests that may wait in one pool. */
  queueLimit: number;
}

/** Determines whether matching calls to a plain service may be retried. */
export interface RepeatRule {
  /** An upper-case HTTP method, or `*`. */
  method: string;
  /** A prefix of the path below the service. */
  pathPrefix: string;
  repeatable: boolean;
}

/** A model or a plain service. */
export interface Service {
  name: string;
  kind: ServiceKind;
  /** The first matching rule applies; a call without one may be retried. */
  repeatRules: RepeatRule[];
  /** The cost charged for a call before any measurement is available. */
  initialCostEstimate: number;
}

/** An availability zone. */
export interface Zone {
  name: string;
  region: string;
  /** Whether the zone receives no new requests. */
  drained: boolean;
}

/** A back end. */
export interface Endpoint {
  name: string;
  zone: string;
  service: string;
  /** The base URL, without a trailing slash. */
  url: string;
  /** The concurrency limit in requests after a cold start. */
  coldLimit: number;
  /** The upper bound of the concurrency limit, in requests. */
  limitCeiling: number;
  /** Whether the endpoint receives no new requests. */
  drained: boolean;
  /** Whether it rejects commands with an outdated fencing token. */
  checksFencing: boolean;
}

/** An immutable configuration at one version. */
export interface FleetConfiguration {
  version: number;
  organisations: ReadonlyMap<string, Organisation>;
  services: ReadonlyMap<string, Service>;
  zones: ReadonlyMap<string, Zone>;
  endpoints: ReadonlyMap<string, Endpoint>;
}

/** Creates an empty configuration at version 0. */
export function createEmptyConfiguration(): FleetConfiguration {
  return {
    version: 0,
    organisations: new Map(),
    services: new Map(),
    zones: new Map(),
    endpoints: new Map(),
  };
}
