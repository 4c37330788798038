/** Builders of test data for forwarding routes. */

import { createSilentLogger, SystemClock } from "@rattanvane/base";
import { CallerMemory, type CallerMemoryOptions } from "@rattanvane/limits";
import type { CallIdentity, ForwardedCall, Prompt } from "../model/call.ts";
import {
  EndpointPhase,
  type EndpointRecord,
} from "../model/endpoint_record.ts";
import type { EndpointRestrictions } from "../scheduling/endpoint_chooser.ts";
import {
  type ForwardedService,
  type ForwardingConfiguration,
  type ForwardingRoute,
  Repeatability,
} from "../model/route.ts";

/** A request that may go to any endpoint. */
export const NO_RESTRICTIONS: EndpointRestrictions = {
  avoid: new Set(),
  excluded: new Set(),
};

/** Builds an idempotent route to the service `engines`. */
export function buildRoute(
  changes: Partial<ForwardingRoute> = {},
): ForwardingRoute {
  return {
    name: "route",
    host: "one.example",
    pathPrefix: "/a/",
    repeatability: Repeatability.Idempotent,
    targets: [{ service: "engines", weight: 1 }],
    attempts: 2,
    timeoutMilliseconds: 5_000,
    objectiveMilliseconds: 400,
    pauseMilliseconds: 300,
    priority: 1,
    hasPrompts: true,
    isPublic: false,
    ...changes,
  };
}

/** Builds the model service `engines`. */
export function buildService(
  changes: Partial<ForwardedService> = {},
): ForwardedService {
  return {
    name: "engines",
    healthPath: "/healthz",
    connectionLimit: 100,
    coldMilliseconds: 3_000,
    coldRequestsPerSecond: 20,
    engine: { slots: 64, memoryTokens: 400_000 },
    ...changes,
  };
}

/** Builds a configuration with one route, one service and one API key. */
export function buildConfiguration(
  changes: Partial<ForwardingConfiguration> = {},
): ForwardingConfiguration {
  return {
    version: 1,
    routes: [buildRoute()],
    services: [buildService()],
    organisations: [{ name: "bakery", keys: ["key-1"], priority: undefined }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 65_536,
      headersTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
    costPerSecond: 0,
    ...changes,
  };
}

/** Builds the registration of an available endpoint. */
export function buildEndpoint(
  id: string,
  changes: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    service: "engines",
    zone: "zone-a",
    host: "127.0.0.1",
    port: 1,
    phase: EndpointPhase.Up,
    slots: 64,
    coldMilliseconds: 0,
    startedAtUnixMilliseconds: 1,
    ...changes,
  };
}

/** Builds a prompt of a shared 5,000-token part and a part of its own. */
export function buildPrompt(shared: string, tokens: number): Prompt {
  const parts = [
    { id: shared, tokens: 5_000 },
    { id: `own-${tokens}`, tokens },
  ];
  return { tokens: tokens + 5_000, outputTokens: 200, parts };
}

/** Builds a call received at `receivedAt`, in milliseconds. */
export function buildCall(
  receivedAt: number,
  changes: Partial<ForwardedCall> & { prompt?: Prompt } = {},
): ForwardedCall {
  const { prompt, ...rest } = changes;
  const identity: CallIdentity = {
    request: "request-1",
    key: "key-1",
    deadlineMilliseconds: 5_000,
    prompt,
    lastEvent: "",
  };
  const route = rest.route ?? buildRoute();
  return {
    identity,
    route,
    service: "engines",
    organisation: "bakery",
    priority: route.priority,
    method: "POST",
    target: "/a/x",
    rawHeaders: [],
    body: new Uint8Array(),
    fingerprint: "fingerprint",
    receivedAt,
    deadlineAt: receivedAt + route.timeoutMilliseconds,
    ...rest,
  };
}

/** Creates a memory for callers; without a limit, unless the changes set one. */
export function createCallerMemory(
  changes: Partial<CallerMemoryOptions> = {},
): CallerMemory {
  return new CallerMemory({
    maxBytes: Infinity,
    clock: new SystemClock(),
    logger: createSilentLogger(),
    countRelease: () => {},
    ...changes,
  });
}
