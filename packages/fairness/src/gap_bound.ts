/** Upper bound on the service gap between two backlogged organisations. */

/** The quantities that determine the bound for two organisations. */
export interface GapBoundTerms {
  /** Maximum number of concurrent attempts of both together, fleet-wide. */
  slots: number;
  /** Largest cost of any of their requests, in cost units. */
  largestCost: number;
  /** Largest estimate that any of their requests was charged, in cost units. */
  largestEstimate: number;
  /** Lower one of the two weights. */
  lowestWeight: number;
  /** Service given by the whole fleet, in cost units per second. */
  serviceRate: number;
  /** Delay until service given is counted at every pool, in seconds. */
  delaySeconds: number;
  /** Lead in virtual time of one pool over another that is tolerated. */
  rebalanceThreshold: number;
}

/**
 * Computes by how much the difference in normalised service (cost units divided
 * by weight) between two organisations can change at most over any interval in
 * which both are backlogged. The derivation is in docs/design/fairness.md.
 */
export function computeGapBound(terms: GapBoundTerms): number {
  const largest = Math.max(terms.largestCost, terms.largestEstimate);
  const inFlight = terms.slots * largest;
  const unreported = terms.serviceRate * terms.delaySeconds;
  const normalised = (inFlight + unreported) / terms.lowestWeight;
  return 2 * (normalised + terms.rebalanceThreshold);
}
