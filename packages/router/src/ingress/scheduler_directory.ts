/** Contract of how the ingress finds the schedulers of pools. */

import type { PoolId, ServiceId, Term, VmId } from "@rattanvane/protocol";

/** Knows which pools serve a service and which VM schedules each. */
export abstract class SchedulerDirectory {
  /**
   * The pool that a request of a service should wait in: the own zone's, or
   * one in another zone when the own zone has none. Undefined when no pool
   * can be reached.
   */
  abstract choosePool(service: ServiceId): PoolId | undefined;

  /** The VM to ask for a place in a pool's queue; undefined when unknown. */
  abstract findScheduler(pool: PoolId): VmId | undefined;

  /** Whether a VM is believed to be live and connected. */
  abstract isReachable(vm: VmId): boolean;

  /** Whether a newer term than this one is known for the pool. */
  abstract isSuperseded(pool: PoolId, term: Term): boolean;
}
