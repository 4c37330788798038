/** The settings of a pool's scheduler. */

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

/** Tuning parameters of a pool's scheduler; times in milliseconds. */
export interface PoolSchedulerSettings {
  fairness: FairQueueSettings;
  estimates: CostEstimatorSettings;
  limits: EndpointLimitSettings;
  /** The period at which timeouts are processed; grants do not wait for it. */
  tickMilliseconds: number;
  /** The shortest period of the counter exchange with siblings. */
  counterPeriodMilliseconds: number;
  /** How long to wait for work reports of ingresses after a start. */
  rebuildMilliseconds: number;
  /** The interval at which a missing work report is requested again. */
  workRequestIntervalMilliseconds: number;
  /** The longest time for which a grant may be in transit. */
  grantTransitMilliseconds: number;
  /** Silence after which the ingress of an attempt is considered lost. */
  attemptSilenceMilliseconds: number;
  /**
   * Silence after which an attempt may be treated as lost when the endpoint's
   * load report does not show it.
   */
  missingAttemptMilliseconds: number;
  /** The time a quarantine has to reach other VMs before its first refusals. */
  quarantinePropagationMilliseconds: number;
  /**
   * The shortest time between two offers to a sibling, or between counters that
   * are sent early because a backlog began.
   */
  offerIntervalMilliseconds: number;
  /** The time after which an unconfirmed move is undone. */
  moveTimeoutMilliseconds: number;
  /** Silence after which a sibling is considered disconnected. */
  siblingTimeoutMilliseconds: number;
  /** The fraction of the slots for which entries are fetched in advance. */
  prefetchShare: number;
  /** The maximum number of entries moved at once without an offer. */
  moveBatchSize: number;
  /**
   * How far a sibling's virtual time must be ahead, in cost units per unit of
   * weight, before entries are moved there.
   */
  rebalanceThreshold: number;
  /** The maximum number of waiting entries in the pool. */
  queueLimit: number;
  /** The shortest retry delay that is suggested to a refused caller. */
  retryAfterMilliseconds: number;
  /** How many prompt prefixes are tracked per endpoint. */
  trackedPrefixesPerEndpoint: number;
}

/** The default settings, suitable for most fleets. */
export const DEFAULT_POOL_SCHEDULER_SETTINGS: PoolSchedulerSettings = {
  fairness: DEFAULT_FAIR_QUEUE_SETTINGS,
  estimates: DEFAULT_COST_ESTIMATOR_SETTINGS,
  limits: DEFAULT_ENDPOINT_LIMIT_SETTINGS,
  tickMilliseconds: 100,
  counterPeriodMilliseconds: 500,
  rebuildMilliseconds: 2000,
  workRequestIntervalMilliseconds: 500,
  grantTransitMilliseconds: 2000,
  attemptSilenceMilliseconds: 300_000,
  missingAttemptMilliseconds: 5000,
  quarantinePropagationMilliseconds: 2000,
  offerIntervalMilliseconds: 50,
  moveTimeoutMilliseconds: 2000,
  siblingTimeoutMilliseconds: 5000,
  prefetchShare: 0.1,
  moveBatchSize: 50,
  rebalanceThreshold: 2000,
  queueLimit: 100_000,
  retryAfterMilliseconds: 1000,
  trackedPrefixesPerEndpoint: 512,
};
