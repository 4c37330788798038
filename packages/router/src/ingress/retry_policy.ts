/** Contract of when a failed attempt may be repeated. */

import type { IngressCall } from "./ingress_call.ts";

/** Decides on retries, so that failures do not multiply the load. */
export abstract class RetryPolicy {
  /** Counts a request that was accepted; it earns a part of a retry. */
  abstract countRequest(call: IngressCall): void;

  /** Takes one retry from the budget; false when it is used up. */
  abstract takeRetry(call: IngressCall): boolean;

  /** The delay before a retry, in milliseconds, with jitter. */
  abstract computeDelay(attemptsMade: number): number;
}
