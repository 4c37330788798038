/** Retry policy with a separate budget for each organisation and service. */

import {
  type BackoffOptions,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import type { RetryBudget } from "@rattanvane/limits";
import type { IngressCall } from "./ingress_call.ts";
import { RetryPolicy } from "./retry_policy.ts";

const RETRY_BACKOFF: BackoffOptions = {
  initialMilliseconds: 25,
  maximumMilliseconds: 1_000,
};

/** Takes retries from a retry budget; delays them by back-off with jitter. */
export class BudgetedRetryPolicy extends RetryPolicy {
  readonly #budget: RetryBudget;
  readonly #random: RandomSource;

  constructor(budget: RetryBudget, random: RandomSource) {
    super();
    this.#budget = budget;
    this.#random = random;
  }

  override recordRequest(call: IngressCall): void {
    this.#budget.recordRequest(call.organisation.name, call.service.name);
  }

  override takeRetry(call: IngressCall): boolean {
    return this.#budget.takeRetry(call.organisation.name, call.service.name);
  }

  override computeDelay(attemptsMade: number): number {
    return computeBackoff(attemptsMade, {
      ...RETRY_BACKOFF,
      random: this.#random,
    });
  }
}
