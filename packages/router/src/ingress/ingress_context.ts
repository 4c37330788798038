/** Authentication, admission and tracking that all request handlers share. */

import type { Clock } from "@rattanvane/base";
import type {
  FleetConfiguration,
  Organisation,
} from "@rattanvane/configuration";
import type { Authenticator } from "../caller/authenticator.ts";
import { readBody } from "../caller/body_reader.ts";
import { CallerError, CallerErrorKind } from "../caller/caller_error.ts";
import type { CallerExchange } from "../caller/caller_server.ts";
import type { AttemptEnvironment } from "./attempt_environment.ts";
import type { ActiveCallRegistry } from "./active_call_registry.ts";
import type { IngressCall } from "./ingress_call.ts";
import { CallEntry } from "./call_entry.ts";

/** Limits on the requests that one VM accepts. */
export interface IngressLimits {
  bodyBytes: number;
  bodyTimeoutMilliseconds: number;
  defaultDeadlineMilliseconds: number;
  /**
   * Maximum number of requests in progress at this VM, running ones included.
   */
  waitingRequests: number;
}

/** Dependencies of the handlers. */
export interface IngressContextOptions {
  authenticator: Authenticator;
  environment: AttemptEnvironment;
  callRegistry: ActiveCallRegistry;
  limits: IngressLimits;
  clock: Clock;
  /** Returns the current configuration; undefined before the first one. */
  findConfiguration: () => FleetConfiguration | undefined;
  /**
   * Returns why new requests are rejected; undefined while they are accepted.
   */
  findRefusalKind: () => CallerErrorKind | undefined;
}

/** An authenticated request whose body has been read. */
export interface AdmittedRequest {
  configuration: FleetConfiguration;
  organisation: Organisation;
  body: Uint8Array;
}

const RETRY_AFTER_MILLISECONDS = 1_000;

/**
 * Authenticates and admits requests, and tracks them while they are answered.
 */
export class IngressContext {
  readonly options: IngressContextOptions;

  constructor(options: IngressContextOptions) {
    this.options = options;
  }

  /**
   * Authenticates the API key. Throws a CallerError when the key is not valid
   * or this VM does not accept requests.
   */
  authenticate(
    exchange: CallerExchange,
  ): Omit<AdmittedRequest, "body"> {
    const { authenticator, findConfiguration, findRefusalKind } = this.options;
    const unavailability = findRefusalKind();
    const configuration = findConfiguration();
    if (unavailability !== undefined || configuration === undefined) {
      throw new CallerError(
        unavailability ?? CallerErrorKind.NotReady,
        "This VM does not accept requests at the moment",
        { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
      );
    }
    const { authorization } = exchange.request.headers;
    const organisation = authenticator.authenticate(
      authorization,
      configuration,
    );
    return { configuration, organisation };
  }

  /**
   * Authenticates a request and reads its body. Throws a CallerError when the
   * request is rejected, also because too many are in progress already.
   */
  async admit(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<AdmittedRequest> {
    const authenticated = this.authenticate(exchange);
    const { limits, clock, callRegistry } = this.options;
    if (callRegistry.size >= limits.waitingRequests) {
      throw new CallerError(
        CallerErrorKind.QueueFull,
        "Too many requests are in progress at this VM",
        { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
      );
    }
    exchange.share.organisation = authenticated.organisation.name;
    const body = await readBody(exchange.request, {
      maximumBytes: limits.bodyBytes,
      timeoutMilliseconds: limits.bodyTimeoutMilliseconds,
      clock,
      share: exchange.share,
    }, signal);
    return { ...authenticated, body };
  }

  /** Registers a call for as long as the task that answers it runs. */
  async track<Value>(
    call: IngressCall,
    task: (entry: CallEntry) => Promise<Value>,
  ): Promise<Value> {
    const { callRegistry, clock } = this.options;
    const entry = new CallEntry(call, clock.now());
    callRegistry.add(entry);
    try {
      return await task(entry);
    } finally {
      callRegistry.remove(entry);
    }
  }
}
