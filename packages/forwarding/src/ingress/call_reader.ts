/** Turns a caller's request into a call, or returns why it is rejected. */

import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Clock, RandomSource } from "@rattanvane/base";
import type { ZoneId } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import type { CallIdentity, ForwardedCall } from "../model/call.ts";
import type { Dialect } from "../model/dialect.ts";
import type {
  ForwardingOrganisation,
  ForwardingRoute,
  RouteTarget,
} from "../model/route.ts";
import type { RouteTable } from "../model/route_table.ts";

const FINGERPRINT_CHARACTERS = 24;

/** Why a request is rejected before it is queued. */
export enum RejectionKind {
  NoConfiguration = "noConfiguration",
  /** The key cannot be verified, since the known keys may be out of date. */
  StaleKeys = "staleKeys",
  UnknownRoute = "unknownRoute",
  UnknownKey = "unknownKey",
  BodyTooLong = "bodyTooLong",
  /** Too many requests of the organisation wait to be begun by this VM. */
  TooManyWaiting = "tooManyWaiting",
  /** This VM holds too many bytes of bodies and of answers. */
  TooManyBytesHeld = "tooManyBytesHeld",
  Quarantined = "quarantined",
  ShuttingDown = "shuttingDown",
}

/** The identity, route and organisation of a request that is admitted. */
export interface AdmittedRequest {
  identity: CallIdentity;
  route: ForwardingRoute;
  organisation: ForwardingOrganisation | undefined;
}

/** The dependencies of a {@link CallReader}. */
export interface CallReaderOptions {
  dialect: Dialect;
  clock: Clock;
  random: RandomSource;
  /** This VM's zone where that matters to the choice of an endpoint. */
  originZone?: ZoneId | undefined;
  findRoutes: () => RouteTable | undefined;
  /** Whether the known keys are recent enough to be relied on. */
  areKeysFresh: () => boolean;
  /** Requests the newest keys; resolves to whether they became fresh in time. */
  waitForKeys: () => Promise<boolean>;
}

/** Authenticates requests, finds their routes and builds their calls. */
export class CallReader {
  readonly #options: CallReaderOptions;

  constructor(options: CallReaderOptions) {
    this.#options = options;
  }

  /**
   * Finds the route and the organisation of a request. Waits for fresh keys
   * when the known ones cannot be relied on.
   */
  async admit(
    request: IncomingMessage,
  ): Promise<Result<AdmittedRequest, RejectionKind>> {
    const result = this.admitNow(request);
    if (result.isOk() || result.error !== RejectionKind.StaleKeys) {
      return result;
    }
    await this.#options.waitForKeys();
    return this.admitNow(request);
  }

  /** Does the same with the keys that are known. */
  admitNow(request: IncomingMessage): Result<AdmittedRequest, RejectionKind> {
    const identity = this.#options.dialect.readIdentity(request.headers);
    const routes = this.#options.findRoutes();
    if (routes === undefined) {
      return err(RejectionKind.NoConfiguration);
    }
    const { host } = request.headers;
    const path = removeQuery(request.url ?? "/");
    const route = routes.findRoute(host ?? "", path);
    if (route === undefined) {
      return err(RejectionKind.UnknownRoute);
    }
    const { key } = identity;
    const organisation = key === undefined
      ? undefined
      : routes.findOrganisation(key);
    const isFresh = this.#options.areKeysFresh();
    if (route.isPublic || !routes.hasOrganisations) {
      return ok({
        identity,
        route,
        organisation: isFresh ? organisation : undefined,
      });
    }
    if (!isFresh) {
      return err(RejectionKind.StaleKeys);
    }
    if (organisation === undefined) {
      return err(RejectionKind.UnknownKey);
    }
    return ok({ identity, route, organisation });
  }

  /** Builds the call of an admitted request. */
  buildCall(
    request: IncomingMessage,
    admitted: AdmittedRequest,
    parts: { body: Uint8Array; receivedAt: number },
  ): ForwardedCall {
    const { identity, route, organisation } = admitted;
    const target = request.url ?? "/";
    const deadline = identity.deadlineMilliseconds ?? Infinity;
    const organisationName = organisation?.name;
    const { originZone } = this.#options;
    return {
      ...(originZone === undefined
        ? {}
        : { origin: { zone: originZone, bodyBytes: parts.body.length } }),
      identity,
      route,
      service: this.#pickTarget(route),
      organisation: organisationName,
      priority: organisation?.priority ?? route.priority,
      method: request.method ?? "GET",
      target,
      rawHeaders: request.rawHeaders,
      body: parts.body,
      fingerprint: hashRequest(target, organisationName, parts.body),
      receivedAt: parts.receivedAt,
      deadlineAt: parts.receivedAt +
        Math.min(deadline, route.timeoutMilliseconds),
    };
  }

  /** Picks a service at random, in proportion to the weights. */
  #pickTarget(route: ForwardingRoute): string {
    const total = sumWeights(route.targets);
    let remaining = this.#options.random.nextFraction() * total;
    for (const target of route.targets) {
      remaining -= target.weight;
      if (remaining < 0) {
        return target.service;
      }
    }
    return route.targets.at(-1)?.service ?? "";
  }
}

function sumWeights(targets: readonly RouteTarget[]): number {
  let sum = 0;
  for (const target of targets) {
    sum += target.weight;
  }
  return sum;
}

function removeQuery(target: string): string {
  const queryStart = target.indexOf("?");
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

/** Returns the fingerprint by which crash-causing requests are recognised. */
function hashRequest(
  target: string,
  organisation: string | undefined,
  body: Uint8Array,
): string {
  return createHash("sha256")
    .update(`${target}\n${organisation ?? ""}\n`)
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_CHARACTERS);
}
