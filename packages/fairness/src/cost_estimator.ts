/** Learns what a request costs, so that it can be charged at its start. */

import type { OrganisationId, ServiceId } from "@rattanvane/protocol";

/** Settings of the estimates. */
export interface CostEstimatorSettings {
  /** The share of the newest cost in the learned mean, above 0 up to 1. */
  learningRate: number;
  /** The most that an estimate may differ from the initial one by a hint. */
  hintFactor: number;
  /** How many pairs of organisation and service are remembered. */
  rememberedPairs: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_COST_ESTIMATOR_SETTINGS: CostEstimatorSettings = {
  learningRate: 0.1,
  hintFactor: 4,
  rememberedPairs: 20_000,
};

/** What is to be estimated. */
export interface CostQuestion {
  organisation: OrganisationId;
  service: ServiceId;
  /** The caller's idea of the cost; 0 when unknown. */
  hintedCost: number;
  /** The service's configured estimate. */
  initialCost: number;
}

interface LearnedCost {
  mean: number;
  samples: number;
}

/**
 * Estimates costs by organisation and service. A hint counts as one sample
 * that is clamped around the configured estimate, so it fades with each cost
 * that is seen, whichever way it lies.
 */
export class CostEstimator {
  readonly #settings: CostEstimatorSettings;
  readonly #learned = new Map<string, LearnedCost>();

  constructor(settings: CostEstimatorSettings) {
    this.#settings = settings;
  }

  /** Computes the cost to charge at the start, in cost units. */
  estimate(question: CostQuestion): number {
    const seed = this.#computeSeed(question);
    const learned = this.#learned.get(formatKey(question));
    if (learned === undefined) {
      return seed;
    }
    return (seed + learned.samples * learned.mean) / (1 + learned.samples);
  }

  /** Learns from a finished request. */
  recordCost(organisation: OrganisationId, options: RecordCostOptions): void {
    const key = formatKey({ organisation, service: options.service });
    const learned = this.#learned.get(key) ?? { mean: 0, samples: 0 };
    this.#learned.delete(key);
    this.#learned.set(key, learned);
    learned.samples++;
    const rate = Math.max(this.#settings.learningRate, 1 / learned.samples);
    learned.mean += rate * (options.cost - learned.mean);
    this.#forgetOldest();
  }

  #computeSeed(question: CostQuestion): number {
    const { hintedCost, initialCost } = question;
    if (!(hintedCost > 0)) {
      return initialCost;
    }
    const factor = this.#settings.hintFactor;
    const raised = Math.max(hintedCost, initialCost / factor);
    return Math.min(raised, initialCost * factor);
  }

  #forgetOldest(): void {
    if (this.#learned.size <= this.#settings.rememberedPairs) {
      return;
    }
    for (const oldest of this.#learned.keys()) {
      this.#learned.delete(oldest);
      return;
    }
  }
}

/** What a finished request has cost. */
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
