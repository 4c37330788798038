/** Settings of a pool's scheduler. */

import {
  type CostEstimatorSettings,
  DEFAULT_COST_ESTIMATOR_SETTINGS,
  DEFAULT_FAIR_QUEUE_SETTINGS,
  type FairQueueSettings,
} from "@rattanvane/fairness";
import {
  DEFAULT_ENDPOINT_LIMIT_SETTINGS,
  type EndpointLimitSettings,
} from "@rattanvane/limits";

/** How a pool's scheduler works; times in milliseconds. */
export interface PoolSchedulerSettings {
  fairness: FairQueueSettings;
  estimates: CostEstimatorSettings;
  limits: EndpointLimitSettings;
  /** The period of timeouts; grants never wait for it. */
  tickMilliseconds: number;
  /** The period of the counters' exchange. */
  counterPeriodMilliseconds: number;
  /** The longest wait for the ingresses' reports after a start. */
  rebuildMilliseconds: number;
  /** How soon an ingress is asked again for its work. */
  requestWorkMilliseconds: number;
  /** How long a grant may be on its way. */
  grantSettleMilliseconds: number;
  /** After this time without news an attempt's ingress is taken for gone. */
  attemptSilenceMilliseconds: number;
  /** Silence after which an attempt that no load report shows is looked into. */
  absentMilliseconds: number;
  /** How long a quarantine spreads before its first refusals are sent. */
  quarantineSpreadMilliseconds: number;
  /** The least time between two offers, or hurried counters, to a sibling. */
  offerIntervalMilliseconds: number;
  /** How long moved entries wait for their confirmation. */
  moveTimeoutMilliseconds: number;
  /** A sibling that was silent for so long was cut off. */
  siblingTimeoutMilliseconds: number;
  /** The part of the slots for which entries are fetched in advance. */
  prefetchShare: number;
  /** The most entries that are moved at once without an offer. */
  moveBatch: number;
  /** The lead of a sibling's virtual time at which entries move there. */
  rebalanceThreshold: number;
  /** The most entries that may wait in the pool. */
  queueLimit: number;
  /** The shortest time after which a refused caller should come back. */
  retryAfterMilliseconds: number;
  /** How many prompt starts are remembered for an endpoint. */
  rememberedPrefixes: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_POOL_SCHEDULER_SETTINGS: PoolSchedulerSettings = {
  fairness: DEFAULT_FAIR_QUEUE_SETTINGS,
  estimates: DEFAULT_COST_ESTIMATOR_SETTINGS,
  limits: DEFAULT_ENDPOINT_LIMIT_SETTINGS,
  tickMilliseconds: 100,
  counterPeriodMilliseconds: 500,
  rebuildMilliseconds: 2000,
  requestWorkMilliseconds: 500,
  grantSettleMilliseconds: 2000,
  attemptSilenceMilliseconds: 300_000,
  absentMilliseconds: 5000,
  quarantineSpreadMilliseconds: 2000,
  offerIntervalMilliseconds: 50,
  moveTimeoutMilliseconds: 2000,
  siblingTimeoutMilliseconds: 5000,
  prefetchShare: 0.1,
  moveBatch: 50,
  rebalanceThreshold: 2000,
  queueLimit: 100_000,
  retryAfterMilliseconds: 1000,
  rememberedPrefixes: 512,
};
