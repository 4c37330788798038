/** What the handlers of callers' requests share. */

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
import type { CallLedger } from "./call_ledger.ts";
import type { IngressCall } from "./ingress_call.ts";
import { LedgerEntry } from "./ledger_entry.ts";

/** Limits of what one VM takes from callers. */
export interface IngressLimits {
  bodyBytes: number;
  bodyTimeoutMilliseconds: number;
  defaultDeadlineMilliseconds: number;
  /** The most requests that wait at this VM. */
  waitingRequests: number;
}

/** The collaborators of the handlers. */
export interface IngressContextOptions {
  authenticator: Authenticator;
  environment: AttemptEnvironment;
  ledger: CallLedger;
  limits: IngressLimits;
  clock: Clock;
  /** The current configuration; undefined before there is one. */
  findConfiguration: () => FleetConfiguration | undefined;
  /** Why no new requests are taken; undefined while they are. */
  findObstacle: () => CallerErrorKind | undefined;
}

/** A request whose sender is known and whose body has been read. */
export interface AdmittedRequest {
  configuration: FleetConfiguration;
  organisation: Organisation;
  body: Uint8Array;
}

const RETRY_AFTER_MILLISECONDS = 1_000;

/** Admits requests and holds them in the ledger while they are answered. */
export class IngressContext {
  readonly options: IngressContextOptions;

  constructor(options: IngressContextOptions) {
    this.options = options;
  }

  /** Checks the key and the VM's state; throws a CallerError. */
  authenticate(
    exchange: CallerExchange,
  ): Omit<AdmittedRequest, "body"> {
    const { authenticator, findConfiguration, findObstacle } = this.options;
    const obstacle = findObstacle();
    const configuration = findConfiguration();
    if (obstacle !== undefined || configuration === undefined) {
      throw new CallerError(
        obstacle ?? CallerErrorKind.NotReady,
        "This VM takes no requests at the moment",
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

  /** Checks the key and reads the body; throws a CallerError. */
  async admit(
    exchange: CallerExchange,
    signal: AbortSignal,
  ): Promise<AdmittedRequest> {
    const sender = this.authenticate(exchange);
    const { limits, clock, ledger } = this.options;
    if (ledger.size >= limits.waitingRequests) {
      throw new CallerError(
        CallerErrorKind.QueueFull,
        "Too many requests are waiting at this VM",
        { retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS },
      );
    }
    const body = await readBody(exchange.request, {
      maximumBytes: limits.bodyBytes,
      timeoutMilliseconds: limits.bodyTimeoutMilliseconds,
      clock,
    }, signal);
    return { ...sender, body };
  }

  /** Holds a call in the ledger while the task answers it. */
  async hold<Value>(
    call: IngressCall,
    task: (entry: LedgerEntry) => Promise<Value>,
  ): Promise<Value> {
    const { ledger, clock } = this.options;
    const entry = new LedgerEntry(call, clock.now());
    ledger.add(entry);
    try {
      return await task(entry);
    } finally {
      ledger.remove(entry);
    }
  }
}
