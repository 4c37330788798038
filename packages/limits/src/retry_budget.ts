/** Limits retries to a fraction of the requests. */

import type { Clock } from "@rattanvane/base";
import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** Settings of the retry budgets. */
export interface RetryBudgetSettings {
  /** Number of retries added to the budget for each request. */
  ratio: number;
  /**
   * Number of retries added per second regardless of requests, so that an
   * organisation with few requests can retry too.
   */
  minimumPerSecond: number;
  /**
   * Number of retries available before any request, as crashes may hit the
   * first request twice.
   */
  initialRetries: number;
  /** Maximum number of retries that a budget accumulates. */
  maximumRetries: number;
  /** Number of organisation-service pairs whose budgets are retained. */
  maximumPairs: number;
}

/** Default settings, suitable for most fleets. */
export const DEFAULT_RETRY_BUDGET_SETTINGS: RetryBudgetSettings = {
  ratio: 0.2,
  minimumPerSecond: 0.5,
  initialRetries: 2,
  maximumRetries: 20,
  maximumPairs: 20_000,
};

interface TokenBucket {
  tokens: number;
  refilledAt: number;
}

/**
 * Keeps a token bucket for each organisation and service. Even when a third of
 * the endpoints fails, retries stay a fixed fraction of the requests and cannot
 * cause a retry storm.
 */
export class RetryBudget {
  readonly #clock: Clock;
  readonly #settings: RetryBudgetSettings;
  readonly #buckets = new Map<string, TokenBucket>();

  constructor(clock: Clock, settings: RetryBudgetSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Adds the retry fraction that a caller's request earns. */
  recordRequest(organisation: OrganisationId, service: ServiceId): void {
    this.#addTokens(
      this.#findBucket(organisation, service),
      this.#settings.ratio,
    );
  }

  /** Takes a retry from the budget; returns false when it is exhausted. */
  takeRetry(organisation: OrganisationId, service: ServiceId): boolean {
    const bucket = this.#findBucket(organisation, service);
    if (bucket.tokens < 1) {
      return false;
    }
    bucket.tokens--;
    return true;
  }

  #findBucket(organisation: OrganisationId, service: ServiceId): TokenBucket {
    const key = `${organisation}\n${service}`;
    const now = this.#clock.now();
    const bucket = this.#buckets.get(key) ??
      { tokens: this.#settings.initialRetries, refilledAt: now };
    const seconds = (now - bucket.refilledAt) / 1000;
    bucket.refilledAt = now;
    this.#addTokens(bucket, seconds * this.#settings.minimumPerSecond);
    this.#buckets.delete(key);
    this.#buckets.set(key, bucket);
    this.#evictOldest();
    return bucket;
  }

  #addTokens(bucket: TokenBucket, tokens: number): void {
    bucket.tokens = Math.min(
      this.#settings.maximumRetries,
      bucket.tokens + tokens,
    );
  }

  #evictOldest(): void {
    if (this.#buckets.size <= this.#settings.maximumPairs) {
      return;
    }
    for (const oldest of this.#buckets.keys()) {
      this.#buckets.delete(oldest);
      return;
    }
  }
}
