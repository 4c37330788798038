/** Turns a caller's request into a call, or says why it is not served. */

import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Clock, RandomSource } from "@rattanvane/base";
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

/** Why a request is not served. */
export enum RejectionKind {
  NoConfiguration = "noConfiguration",
  /** It cannot be told whether the key still holds. */
  StaleKeys = "staleKeys",
  UnknownRoute = "unknownRoute",
  UnknownKey = "unknownKey",
  BodyTooLong = "bodyTooLong",
  Quarantined = "quarantined",
  ShuttingDown = "shuttingDown",
}

/** A request whose sender and route are known. */
export interface AdmittedHead {
  identity: CallIdentity;
  route: ForwardingRoute;
  organisation: ForwardingOrganisation | undefined;
}

/** What heads are read with. */
export interface CallReaderOptions {
  dialect: Dialect;
  clock: Clock;
  random: RandomSource;
  findRoutes: () => RouteTable | undefined;
  /** Whether the keys that are known can be relied on. */
  areKeysFresh: () => boolean;
  /** Asks for the newest keys; resolves when they are fresh or in vain. */
  waitForKeys: () => Promise<boolean>;
}

/** Reads the heads of requests. */
export class CallReader {
  readonly #options: CallReaderOptions;

  constructor(options: CallReaderOptions) {
    this.#options = options;
  }

  /** Finds the route and the organisation of a request. */
  async admit(
    request: IncomingMessage,
  ): Promise<Result<AdmittedHead, RejectionKind>> {
    const identity = this.#options.dialect.readIdentity(request.headers);
    const first = this.#admitNow(request, identity);
    if (first.isOk() || first.error !== RejectionKind.StaleKeys) {
      return first;
    }
    await this.#options.waitForKeys();
    return this.#admitNow(request, identity);
  }

  /** Builds the call of an admitted request. */
  buildCall(
    request: IncomingMessage,
    head: AdmittedHead,
    parts: { body: Uint8Array; receivedAt: number },
  ): ForwardedCall {
    const { identity, route, organisation } = head;
    const target = request.url ?? "/";
    const deadline = identity.deadlineMilliseconds ?? Infinity;
    const name = organisation?.name;
    return {
      identity,
      route,
      service: this.#pickTarget(route),
      organisation: name,
      priority: organisation?.priority ?? route.priority,
      method: request.method ?? "GET",
      target,
      rawHeaders: request.rawHeaders,
      body: parts.body,
      fingerprint: hashRequest(target, name, parts.body),
      receivedAt: parts.receivedAt,
      endsAt: parts.receivedAt + Math.min(deadline, route.timeoutMilliseconds),
    };
  }

  #admitNow(
    request: IncomingMessage,
    identity: CallIdentity,
  ): Result<AdmittedHead, RejectionKind> {
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

  #pickTarget(route: ForwardingRoute): string {
    const total = sumWeights(route.targets);
    let left = this.#options.random.nextFraction() * total;
    for (const target of route.targets) {
      left -= target.weight;
      if (left < 0) {
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
  const mark = target.indexOf("?");
  return mark < 0 ? target : target.slice(0, mark);
}

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
