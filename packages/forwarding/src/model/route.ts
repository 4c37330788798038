/** Forwarding routes: which requests go to which service, and how. */

import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** What may be sent again. */
export enum Repeatability {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once. */
  Once = "once",
  /** A stream of events that runs at most once. */
  Stream = "stream",
  /** A stream that another endpoint may take up after the last event. */
  ResumableStream = "resumableStream",
}

/** A service that gets a part of a route's requests. */
export interface RouteTarget {
  service: ServiceId;
  /** Relative to the other targets of the route. */
  weight: number;
}

/** One forwarding route. */
export interface ForwardingRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  repeatability: Repeatability;
  /** At most one of them serves an attempt. */
  targets: RouteTarget[];
  /** How many endpoints one request may be sent to. */
  attempts: number;
  timeoutMilliseconds: number;
  /** The time within which an answer, or its first event, is due. */
  objectiveMilliseconds: number;
  /** The longest pause between two events of a stream. */
  pauseMilliseconds: number;
  /** The most urgent is 0. */
  priority: number;
  /** Whether the requests name the parts of their prompts. */
  hasPrompts: boolean;
  /** Whether requests need no key. */
  isPublic: boolean;
}

/** A service that forwarding routes lead to. */
export interface ForwardedService {
  name: ServiceId;
  healthPath: string;
  /** The most connections that one endpoint takes from all callers. */
  connectionLimit: number;
  /** How long an endpoint is cold after its start. */
  coldMilliseconds: number;
  /** Requests a second that a cold endpoint bears; 0 for any number. */
  coldRequestsPerSecond: number;
  /** Not set for a plain service. */
  engine: EngineTraits | undefined;
}

/** What the endpoints of a model service have in common. */
export interface EngineTraits {
  slots: number;
  /** The tokens that running requests and kept prompt parts share. */
  memoryTokens: number;
}

/** An organisation that calls forwarding routes. */
export interface ForwardingOrganisation {
  name: OrganisationId;
  keys: string[];
  /** Goes before the priority of the route; undefined leaves that. */
  priority: number | undefined;
}

/** What callers may send. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headersTimeoutMilliseconds: number;
  idleTimeoutMilliseconds: number;
}

/** All forwarding routes at one version; never changed in place. */
export interface ForwardingConfiguration {
  version: number;
  routes: ForwardingRoute[];
  services: ForwardedService[];
  organisations: ForwardingOrganisation[];
  limits: CallerLimits;
  /** Cost units that all engines produce a second; 0 when unknown. */
  costPerSecond: number;
}
