/** The configuration of forwarding routes, their services and callers. */

import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** Whether the router may send a request to an endpoint more than once. */
export enum Repeatability {
  /** The request is idempotent and may run more than once. */
  Idempotent = "idempotent",
  /** The request runs at most once. */
  Once = "once",
  /** The response is an event stream; the request runs at most once. */
  Stream = "stream",
  /**
   * The response is an event stream that another endpoint can resume after the
   * last event.
   */
  ResumableStream = "resumableStream",
}

/** A service that receives a weighted part of a route's requests. */
export interface RouteTarget {
  service: ServiceId;
  /** The weight relative to the route's other targets. */
  weight: number;
}

/** One forwarding route. */
export interface ForwardingRoute {
  name: string;
  host: string;
  /** The path prefix that the route matches; begins and ends with a slash. */
  pathPrefix: string;
  repeatability: Repeatability;
  /**
   * One of them is picked for each request, in proportion to the weights; no
   * attempt goes to more than one.
   */
  targets: RouteTarget[];
  /**
   * The number of endpoints that may run one request; attempts that did not run
   * it are not counted.
   */
  attempts: number;
  /** The upper limit of the time from arrival to the final response. */
  timeoutMilliseconds: number;
  /** The latency objective for a response, or for the first stream event. */
  objectiveMilliseconds: number;
  /** The longest acceptable interval between two events of a stream. */
  pauseMilliseconds: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether requests state the parts of their prompts. */
  hasPrompts: boolean;
  /** Whether requests are served without an API key. */
  isPublic: boolean;
}

/** A service that forwarding routes send requests to. */
export interface ForwardedService {
  name: ServiceId;
  healthPath: string;
  /** The connections that one endpoint accepts from all clients together. */
  connectionLimit: number;
  /** How long an endpoint remains cold after its start. */
  coldMilliseconds: number;
  /** The requests per second that a cold endpoint can serve; 0 for no limit. */
  coldRequestsPerSecond: number;
  /** Undefined for a service that is not a model service. */
  engine: EngineCapacity | undefined;
}

/** The capacity of each endpoint of a model service. */
export interface EngineCapacity {
  /** The number of requests that an engine runs concurrently. */
  slots: number;
  /** The token memory that running requests and cached prompt parts share. */
  memoryTokens: number;
}

/** An organisation whose keys may call forwarding routes. */
export interface ForwardingOrganisation {
  name: OrganisationId;
  keys: string[];
  /** Overrides the priority of the route; undefined keeps it. */
  priority: number | undefined;
}

/** Limits on the size and timing of callers' requests. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headersTimeoutMilliseconds: number;
  idleTimeoutMilliseconds: number;
}

/** All forwarding routes at one version; immutable. */
export interface ForwardingConfiguration {
  version: number;
  routes: ForwardingRoute[];
  services: ForwardedService[];
  organisations: ForwardingOrganisation[];
  limits: CallerLimits;
  /** The cost units per second of all engines together; 0 when unknown. */
  costPerSecond: number;
}
