/** The bound on the service gap of two backlogged organisations. */

/** What bounds one organisation's part of the gap. */
export interface OrganisationTerms {
  weight: number;
  /** The most attempts of it that run at once, fleet-wide. */
  inFlight: number;
  /** The largest cost of one of its requests, in cost units. */
  largestCost: number;
  /** The largest estimate that one was charged with, in cost units. */
  largestEstimate: number;
}

/** What bounds the gap. */
export interface GapBoundTerms {
  first: OrganisationTerms;
  second: OrganisationTerms;
  /** The service that all other pools together give, in units a second. */
  remoteRate: number;
  /** From service given to its taking effect elsewhere, in seconds. */
  exchangeDelaySeconds: number;
  /** The lead of one pool over another that is left alone. */
  rebalanceThreshold: number;
}

/**
 * Computes the largest change of the difference of normalised service between
 * two organisations over any interval in which both are backlogged. The
 * derivation is in docs/design/fairness.md.
 */
export function computeGapBound(terms: GapBoundTerms): number {
  const local = computeShare(terms.first) + computeShare(terms.second);
  const lightest = Math.min(terms.first.weight, terms.second.weight);
  const unseen = terms.remoteRate * terms.exchangeDelaySeconds / lightest;
  return 2 * (local + unseen + terms.rebalanceThreshold);
}

/** One estimate that was just charged, and attempts charged or served ahead. */
function computeShare(terms: OrganisationTerms): number {
  const largest = Math.max(terms.largestCost, terms.largestEstimate);
  const running = 2 * terms.inFlight * largest;
  return (terms.largestEstimate + running) / terms.weight;
}
