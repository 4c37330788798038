/** Dependencies and limits that all attempts of a router share. */

import type { Clock, Logger } from "@rattanvane/base";
import type { Endpoint } from "@rattanvane/configuration";
import type { EndpointClient } from "@rattanvane/platform";
import type { EndpointId } from "@rattanvane/protocol";
import type { IngressMetrics } from "../metrics/ingress_metrics.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RetryPolicy } from "./retry_policy.ts";

/** Time-outs and size limits of attempts. */
export interface AttemptLimits {
  firstByteTimeoutMilliseconds: number;
  idleTimeoutMilliseconds: number;
  /** Maximum size of a buffered response body of a plain service, in bytes. */
  maximumPlainAnswerBytes: number;
}

/** Dependencies of all attempts of one router. */
export interface AttemptEnvironment {
  dispatcher: Dispatcher;
  client: EndpointClient;
  retries: RetryPolicy;
  clock: Clock;
  logger: Logger;
  metrics: IngressMetrics;
  limits: AttemptLimits;
  /** The first key signs stream ids; signatures by any of them are accepted. */
  fleetKeys: readonly string[];
  /** Returns an endpoint of the current configuration; undefined if none. */
  findEndpoint: (endpoint: EndpointId) => Endpoint | undefined;
}
