/** The bound on the service gap of two backlogged organisations. */

/** What the gap of two organisations is bounded by. */
export interface GapBoundTerms {
  /** The most attempts of both together that run at once, fleet-wide. */
  slots: number;
  /** The largest cost of one of their requests, in cost units. */
  largestCost: number;
  /** The largest estimate that one was charged with, in cost units. */
  largestEstimate: number;
  /** The lower of the two weights. */
  lowestWeight: number;
  /** The service that the whole fleet gives, in cost units a second. */
  serviceRate: number;
  /** From service given to its counting at every pool, in seconds. */
  delaySeconds: number;
  /** The lead of one pool over another that is left alone. */
  rebalanceThreshold: number;
}

/**
 * Computes the largest change of the difference of normalised service between
 * two organisations over any interval in which both are backlogged. The
 * derivation is in docs/design/fairness.md.
 */
export function computeGapBound(terms: GapBoundTerms): number {
  const largest = Math.max(terms.largestCost, terms.largestEstimate);
  const inFlight = terms.slots * largest;
  const unseen = terms.serviceRate * terms.delaySeconds;
  const normalised = (inFlight + unseen) / terms.lowestWeight;
  return 2 * (normalised + terms.rebalanceThreshold);
}
