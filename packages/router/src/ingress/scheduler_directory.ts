/** Interface through which the ingress looks up the schedulers of pools. */

import type { PoolId, ServiceId, Term, VmId } from "@rattanvane/protocol";

/** Maps services to pools, and pools to the VMs that schedule them. */
export abstract class SchedulerDirectory {
  /**
   * Returns the pool that a request for a service should be queued in: the one
   * in the local zone, or one in another zone when the local zone has none.
   * Returns undefined when no pool is reachable.
   */
  abstract choosePool(service: ServiceId): PoolId | undefined;

  /** Returns the VM that schedules a pool; undefined when unknown. */
  abstract findScheduler(pool: PoolId): VmId | undefined;

  /** Whether a VM is considered live and has an open connection. */
  abstract isReachable(vm: VmId): boolean;

  /** Whether a newer term than the given one is known for the pool. */
  abstract isSuperseded(pool: PoolId, term: Term): boolean;
}
