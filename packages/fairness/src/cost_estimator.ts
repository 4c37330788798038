/** Estimates the cost of a request, so that it can be charged at its start. */

import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** Settings of a cost estimator. */
export interface CostEstimatorSettings {
  /** Weight of the newest cost in the moving average, above 0 up to 1. */
  learningRate: number;
  /** Largest factor by which a hint may raise or lower the initial estimate. */
  hintFactor: number;
  /** Number of organisation-service pairs whose costs are retained. */
  maximumPairs: number;
}

/** Default settings, suitable for most fleets. */
export const DEFAULT_COST_ESTIMATOR_SETTINGS: CostEstimatorSettings = {
  learningRate: 0.1,
  hintFactor: 4,
  maximumPairs: 20_000,
};

/** Describes the request whose cost is estimated; costs are in cost units. */
export interface EstimateCostOptions {
  organisation: OrganisationId;
  service: ServiceId;
  /** Cost that the caller expects; 0 when unknown. */
  hintedCost: number;
  /** Cost estimate configured for the service. */
  initialCost: number;
}

interface ObservedCost {
  mean: number;
  samples: number;
}

/**
 * Estimates costs by organisation and service. A caller's hint is clamped
 * around the configured estimate and weighs as much as one sample, so its
 * influence fades with each observed cost, whether it is too high or too low.
 */
export class CostEstimator {
  readonly #settings: CostEstimatorSettings;
  readonly #observedCosts = new Map<string, ObservedCost>();

  constructor(settings: CostEstimatorSettings) {
    this.#settings = settings;
  }

  /** Computes the cost to charge at the start, in cost units. */
  estimate(options: EstimateCostOptions): number {
    const prior = this.#computePrior(options);
    const observed = this.#observedCosts.get(formatKey(options));
    if (observed === undefined) {
      return prior;
    }
    return (prior + observed.samples * observed.mean) / (1 + observed.samples);
  }

  /** Updates the moving average with the cost of a finished request. */
  recordCost(organisation: OrganisationId, options: RecordCostOptions): void {
    const key = formatKey({ organisation, service: options.service });
    const observed = this.#observedCosts.get(key) ?? { mean: 0, samples: 0 };
    this.#observedCosts.delete(key);
    this.#observedCosts.set(key, observed);
    observed.samples++;
    const rate = Math.max(this.#settings.learningRate, 1 / observed.samples);
    observed.mean += rate * (options.cost - observed.mean);
    this.#evictOldest();
  }

  /** Computes the estimate to use before any cost has been observed. */
  #computePrior(options: EstimateCostOptions): number {
    const { hintedCost, initialCost } = options;
    if (!(hintedCost > 0)) {
      return initialCost;
    }
    const factor = this.#settings.hintFactor;
    const raised = Math.max(hintedCost, initialCost / factor);
    return Math.min(raised, initialCost * factor);
  }

  #evictOldest(): void {
    if (this.#observedCosts.size <= this.#settings.maximumPairs) {
      return;
    }
    for (const oldest of this.#observedCosts.keys()) {
      this.#observedCosts.delete(oldest);
      return;
    }
  }
}

/** The service and actual cost of a finished request. */
export interface RecordCostOptions {
  service: ServiceId;
  /** In cost units. */
  cost: number;
}

function formatKey(
  pair: { organisation: OrganisationId; service: ServiceId },
): string {
  return `${pair.organisation}\n${pair.service}`;
}
