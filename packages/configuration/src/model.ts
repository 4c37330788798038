/** The fleet's configuration as the routers use it. */

/** What kind of back end a service has. */
export enum ServiceKind {
  Model = "model",
  Plain = "plain",
}

/** An organisation that shares the fleet's capacity. */
export interface Organisation {
  name: string;
  /** Its share relative to the others; above 0. */
  weight: number;
  /** SHA-256 hashes of its bearer keys, in hexadecimal. */
  keyHashes: string[];
  /** The services that it may reach. */
  services: string[];
  /** The most requests of it that may wait in one pool. */
  queueLimit: number;
}

/** A rule that says which calls of a plain service must not be repeated. */
export interface RepeatRule {
  /** An upper-case HTTP method, or `*`. */
  method: string;
  /** The start of the path below the service. */
  pathPrefix: string;
  repeatable: boolean;
}

/** A model or a plain service. */
export interface Service {
  name: string;
  kind: ServiceKind;
  /** The first rule that fits a call decides; without one, it is repeatable. */
  repeatRules: RepeatRule[];
  /** The cost that a call is charged with before anything is known of it. */
  initialCostEstimate: number;
}

/** An availability zone. */
export interface Zone {
  name: string;
  region: string;
  /** A drained zone gets no new work. */
  drained: boolean;
}

/** A back end. */
export interface Endpoint {
  name: string;
  zone: string;
  service: string;
  /** The base URL, without a final slash. */
  url: string;
  /** How many requests it bears at once after a start. */
  coldLimit: number;
  /** The most requests that it is ever sent at once. */
  limitCeiling: number;
  /** A drained endpoint gets no new work. */
  drained: boolean;
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: boolean;
}

/** A whole configuration at one version; never changed in place. */
export interface FleetConfiguration {
  version: number;
  organisations: ReadonlyMap<string, Organisation>;
  services: ReadonlyMap<string, Service>;
  zones: ReadonlyMap<string, Zone>;
  endpoints: ReadonlyMap<string, Endpoint>;
}

/** Creates the configuration that holds nothing yet. */
export function createEmptyConfiguration(): FleetConfiguration {
  return {
    version: 0,
    organisations: new Map(),
    services: new Map(),
    zones: new Map(),
    endpoints: new Map(),
  };
}
