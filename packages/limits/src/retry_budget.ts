/** Limits retries to a share of the requests. */

import type { Clock } from "@rattanvane/base";
import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** Settings of the retry budgets. */
export interface RetryBudgetSettings {
  /** Retries earned by each request. */
  ratio: number;
  /** Retries earned a second without any request, so that few can retry. */
  floorPerSecond: number;
  /** Retries before any request; a crash may hit the first one twice. */
  initial: number;
  /** The most retries that are kept for later. */
  maximum: number;
  /** How many pairs of organisation and service are remembered. */
  rememberedPairs: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_RETRY_BUDGET_SETTINGS: RetryBudgetSettings = {
  ratio: 0.2,
  floorPerSecond: 0.5,
  initial: 2,
  maximum: 20,
  rememberedPairs: 20_000,
};

interface Budget {
  tokens: number;
  refilledAt: number;
}

/**
 * A token bucket by organisation and service. When a third of the endpoints
 * goes, retries stay a fixed share of the requests and cannot feed a storm.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #settings: RetryBudgetSettings;
  readonly #budgets = new Map<string, Budget>();

  constructor(clock: Clock, settings: RetryBudgetSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Earns a part of a retry for a caller's request. */
  recordRequest(organisation: OrganisationId, service: ServiceId): void {
    this.#add(this.#findBudget(organisation, service), this.#settings.ratio);
  }

  /** Takes a retry; false when the budget is spent. */
  takeRetry(organisation: OrganisationId, service: ServiceId): boolean {
    const budget = this.#findBudget(organisation, service);
    if (budget.tokens < 1) {
      return false;
    }
    budget.tokens--;
    return true;
  }

  #findBudget(organisation: OrganisationId, service: ServiceId): Budget {
    const key = `${organisation}\n${service}`;
    const now = this.#clock.now();
    const budget = this.#budgets.get(key) ??
      { tokens: this.#settings.initial, refilledAt: now };
    const seconds = (now - budget.refilledAt) / 1000;
    budget.refilledAt = now;
    this.#add(budget, seconds * this.#settings.floorPerSecond);
    this.#budgets.delete(key);
    this.#budgets.set(key, budget);
    this.#forgetOldest();
    return budget;
  }

  #add(budget: Budget, tokens: number): void {
    budget.tokens = Math.min(this.#settings.maximum, budget.tokens + tokens);
  }

  #forgetOldest(): void {
    if (this.#budgets.size <= this.#settings.rememberedPairs) {
      return;
    }
    for (const oldest of this.#budgets.keys()) {
      this.#budgets.delete(oldest);
      return;
    }
  }
}
