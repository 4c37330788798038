/** What running attempts needs from the rest of the router. */

import type { Clock, Logger } from "@rattanvane/base";
import type { Endpoint } from "@rattanvane/configuration";
import type { EndpointClient } from "@rattanvane/platform";
import type { EndpointId } from "@rattanvane/protocol";
import type { IngressMetrics } from "../metrics/ingress_metrics.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RetryPolicy } from "./retry_policy.ts";

/** Time limits and sizes of attempts. */
export interface AttemptLimits {
  firstByteTimeoutMilliseconds: number;
  idleTimeoutMilliseconds: number;
  /** The longest answer of a plain service that is held whole. */
  plainAnswerBytes: number;
}

/** The collaborators of all attempts of one router. */
export interface AttemptEnvironment {
  dispatcher: Dispatcher;
  client: EndpointClient;
  retries: RetryPolicy;
  clock: Clock;
  logger: Logger;
  metrics: IngressMetrics;
  limits: AttemptLimits;
  /** The first signs stream ids, all are accepted. */
  fleetKeys: readonly string[];
  /** Finds an endpoint in the current configuration. */
  findEndpoint: (endpoint: EndpointId) => Endpoint | undefined;
}
