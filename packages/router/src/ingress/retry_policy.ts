/** Interface that decides when failed attempts are retried. */

import type { IngressCall } from "./ingress_call.ts";

/** Limits and delays retries, so that failures do not multiply the load. */
export abstract class RetryPolicy {
  /**
   * Records an accepted request, which adds a fraction of a retry to the
   * budget.
   */
  abstract recordRequest(call: IngressCall): void;

  /** Takes one retry from the budget; returns false when it is exhausted. */
  abstract takeRetry(call: IngressCall): boolean;

  /** Computes the delay before a retry, in milliseconds, with jitter. */
  abstract computeDelay(attemptsMade: number): number;
}
