/** Converts HTTP requests to calls and checks access to their services. */

import type { IncomingMessage } from "node:http";
import { type Clock } from "@rattanvane/base";
import {
  type FleetConfiguration,
  type Organisation,
  type Service,
  ServiceKind,
} from "@rattanvane/configuration";
import { HeaderName, type HttpHeader } from "@rattanvane/platform";
import { CallerError, CallerErrorKind } from "../caller/caller_error.ts";
import { computeFingerprint, type IngressCall } from "./ingress_call.ts";

const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const MAXIMUM_DEADLINE_MILLISECONDS = 24 * 3_600_000;
const MAXIMUM_COST_HINT_UNITS = 1_000_000;

/**
 * Headers that are not forwarded to endpoints, since they only concern the
 * connection between caller and router.
 */
const STRIPPED_HEADERS = new Set<string>([
  "authorization",
  "cookie",
  "content-length",
  "host",
  "connection",
  "keep-alive",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
  "accept-encoding",
  HeaderName.AttemptId,
  HeaderName.IdempotencyKey,
  HeaderName.CostHint,
  HeaderName.DeadlineMilliseconds,
]);

/** Parts of a call that are not taken from the HTTP request itself. */
export interface BuildCallOptions {
  request: string;
  organisation: Organisation;
  service: Service;
  path: string;
  body: Uint8Array;
  /** Hash of the start of the prompt; empty for plain services. */
  prefix: string;
  defaultDeadlineMilliseconds: number;
  clock: Clock;
}

/** Name of a plain service and the path at the service. */
export interface ServicePath {
  service: string;
  /** Starts with a slash and includes the query. */
  path: string;
}

/** Parses `/services/NAME/...`; returns undefined for other paths. */
export function parseServicePath(url: string): ServicePath | undefined {
  const match = SERVICE_PATH.exec(url);
  if (match === null) {
    return undefined;
  }
  const [, service = "", path = "/", query = ""] = match;
  return { service, path: `${path}${query}` };
}

/**
 * Returns a service by name. Throws a CallerError when there is none of this
 * kind or the organisation has no access to it.
 */
export function findService(
  configuration: FleetConfiguration,
  options: { name: string; kind: ServiceKind; organisation: Organisation },
): Service {
  const { name, kind, organisation } = options;
  const service = configuration.services.get(name);
  if (service === undefined || service.kind !== kind) {
    const noun = kind === ServiceKind.Model ? "model" : "service";
    throw new CallerError(
      CallerErrorKind.UnknownService,
      `There is no ${noun} "${name}"`,
    );
  }
  if (!organisation.services.includes(name)) {
    throw new CallerError(
      CallerErrorKind.ServiceNotAllowed,
      `The organisation "${organisation.name}" has no access to "${name}"`,
    );
  }
  return service;
}

/**
 * Whether a service's rules allow a call to be repeated. The first rule that
 * matches applies; without one, calls are repeatable.
 */
export function isRepeatable(
  service: Service,
  options: { method: string; path: string },
): boolean {
  const rule = service.repeatRules.find((candidate) =>
    (candidate.method === "*" || candidate.method === options.method) &&
    options.path.startsWith(candidate.pathPrefix)
  );
  return rule?.repeatable ?? true;
}

/** Builds a call; throws a CallerError when a header is malformed. */
export function buildCall(
  request: IncomingMessage,
  options: BuildCallOptions,
): IngressCall {
  const method = request.method ?? "GET";
  const { organisation, service, path, body, prefix } = options;
  const deadlineMilliseconds = readIntegerHeader(request, {
    name: HeaderName.DeadlineMilliseconds,
    maximum: MAXIMUM_DEADLINE_MILLISECONDS,
  }) ?? options.defaultDeadlineMilliseconds;
  const hintedCost = readIntegerHeader(request, {
    name: HeaderName.CostHint,
    maximum: MAXIMUM_COST_HINT_UNITS,
  });
  return {
    request: options.request,
    organisation,
    service,
    method,
    path,
    headers: collectHeaders(request),
    body,
    deadlineAt: options.clock.now() + deadlineMilliseconds,
    hintedCost: hintedCost ?? 0,
    fingerprint: computeFingerprint(service.name, { method, path, body }),
    prefix,
  };
}

/** Returns undefined when the header is absent; throws a CallerError. */
function readIntegerHeader(
  request: IncomingMessage,
  options: { name: HeaderName; maximum: number },
): number | undefined {
  const text = request.headers[options.name];
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1 || value > options.maximum) {
    throw new CallerError(
      CallerErrorKind.MalformedHeader,
      `The header "${options.name}" must be a whole number from 1 to ` +
        `${options.maximum}, not "${String(text)}"`,
    );
  }
  return value;
}

function collectHeaders(request: IncomingMessage): HttpHeader[] {
  const headers: HttpHeader[] = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = (request.rawHeaders[index] ?? "").toLowerCase();
    if (!STRIPPED_HEADERS.has(name)) {
      headers.push({ name, value: request.rawHeaders[index + 1] ?? "" });
    }
  }
  return headers;
}
