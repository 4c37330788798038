/** Turns HTTP requests into calls that an organisation may send. */

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
const LONGEST_DEADLINE_MILLISECONDS = 24 * 3_600_000;
const HIGHEST_HINT = 1_000_000;

/** Headers that end here: they are between the caller and the router. */
const OWN_HEADERS = new Set<string>([
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

/** What a call is made of besides the HTTP request. */
export interface BuildCallOptions {
  request: string;
  organisation: Organisation;
  service: Service;
  path: string;
  body: Uint8Array;
  /** Hashed start of the prompt; empty for plain services. */
  prefix: string;
  defaultDeadlineMilliseconds: number;
  clock: Clock;
}

/** A plain service's name and the path below it. */
export interface ServicePath {
  service: string;
  /** Starts with a slash; holds the query. */
  path: string;
}

/** Splits `/services/NAME/...`; undefined for other paths. */
export function parseServicePath(url: string): ServicePath | undefined {
  const match = SERVICE_PATH.exec(url);
  if (match === null) {
    return undefined;
  }
  const [, service = "", path = "/", query = ""] = match;
  return { service, path: `${path}${query}` };
}

/** Finds a service that the organisation may reach; throws a CallerError. */
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
      `The organisation "${organisation.name}" may not reach "${name}"`,
    );
  }
  return service;
}

/** Whether a service's rules allow a call to be repeated. */
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

/** Builds the call; throws a CallerError for a header that is malformed. */
export function buildCall(
  request: IncomingMessage,
  options: BuildCallOptions,
): IngressCall {
  const method = request.method ?? "GET";
  const { organisation, service, path, body, prefix } = options;
  const wait = readNumberHeader(request, {
    name: HeaderName.DeadlineMilliseconds,
    most: LONGEST_DEADLINE_MILLISECONDS,
  }) ?? options.defaultDeadlineMilliseconds;
  const hintedCost = readNumberHeader(request, {
    name: HeaderName.CostHint,
    most: HIGHEST_HINT,
  });
  return {
    request: options.request,
    organisation,
    service,
    method,
    path,
    headers: collectHeaders(request),
    body,
    deadlineAt: options.clock.now() + wait,
    hintedCost: hintedCost ?? 0,
    fingerprint: computeFingerprint(service.name, { method, path, body }),
    prefix,
  };
}

function readNumberHeader(
  request: IncomingMessage,
  options: { name: HeaderName; most: number },
): number | undefined {
  const text = request.headers[options.name];
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1 || value > options.most) {
    throw new CallerError(
      CallerErrorKind.MalformedHeader,
      `The header "${options.name}" must be a whole number from 1 to ` +
        `${options.most}, not "${String(text)}"`,
    );
  }
  return value;
}

function collectHeaders(request: IncomingMessage): HttpHeader[] {
  const headers: HttpHeader[] = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = (request.rawHeaders[index] ?? "").toLowerCase();
    if (!OWN_HEADERS.has(name)) {
      headers.push({ name, value: request.rawHeaders[index + 1] ?? "" });
    }
  }
  return headers;
}
