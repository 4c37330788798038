/** Scheduler of one pool: its queue, endpoints, limits and siblings. */

export { PoolObserver } from "./pool_observer.ts";
export type { PoolSchedulerOptions } from "./pool_state.ts";
export { type PoolPeers, PoolScheduler } from "./pool_scheduler.ts";
export type {
  EndpointStatus,
  OrganisationStatus,
  PoolStatus,
} from "./pool_status.ts";
export {
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  type PoolSchedulerSettings,
} from "./settings.ts";
export type { SiblingAddress } from "./siblings.ts";
