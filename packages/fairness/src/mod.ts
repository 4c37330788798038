/** Fair queueing between organisations when costs are known only at the end. */

export type { FairEntry } from "./account.ts";
export { BinaryHeap, type Comparator } from "./binary_heap.ts";
export {
  CostEstimator,
  type CostEstimatorSettings,
  DEFAULT_COST_ESTIMATOR_SETTINGS,
  type EstimateCostOptions,
  type RecordCostOptions,
} from "./cost_estimator.ts";
export {
  type Charge,
  DEFAULT_FAIR_QUEUE_SETTINGS,
  FairQueue,
  type FairQueueOptions,
  type FairQueueSettings,
  type FindWeight,
  PickVerdict,
} from "./fair_queue.ts";
export { computeGapBound, type GapBoundTerms } from "./gap_bound.ts";
export {
  type RemoteReport,
  RemoteTotals,
  type ServiceDifference,
} from "./remote_totals.ts";
