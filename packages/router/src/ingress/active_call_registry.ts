/** In-memory registry of the requests in progress at this VM. */

import {
  formatPool,
  type PoolId,
  type RequestId,
  type VmId,
} from "@rattanvane/protocol";
import { type CallEntry, CallPhase } from "./call_entry.ts";

/** A pool and the VM that was asked to schedule it. */
export interface ScheduledPool {
  pool: PoolId;
  scheduler: VmId;
}

/**
 * The requests in progress at one ingress. Each request is owned by exactly one
 * ingress; schedulers only hold copies of its state.
 */
export class ActiveCallRegistry {
  readonly #entries = new Map<RequestId, CallEntry>();

  /** Number of requests that are waiting for a grant. */
  get waiting(): number {
    return this.#count(CallPhase.Waiting);
  }

  /** Number of requests that are running at an endpoint. */
  get running(): number {
    return this.#count(CallPhase.Running);
  }

  /** Number of registered requests, in any phase. */
  get size(): number {
    return this.#entries.size;
  }

  /** Registers a request under its request id. */
  add(entry: CallEntry): void {
    this.#entries.set(entry.call.request, entry);
  }

  /** Removes a request once it has been answered. */
  remove(entry: CallEntry): void {
    this.#entries.delete(entry.call.request);
  }

  /** Returns a request by its id; undefined when it is not registered. */
  find(request: RequestId): CallEntry | undefined {
    return this.#entries.get(request);
  }

  /** Lists the requests in the given phase. */
  listPhase(phase: CallPhase): CallEntry[] {
    return [...this.#entries.values()].filter((entry) => entry.phase === phase);
  }

  /** Lists the requests that are waiting or running in the given pool. */
  listPool(pool: PoolId): CallEntry[] {
    const key = formatPool(pool);
    return [...this.#entries.values()].filter((entry) =>
      entry.pool !== undefined && formatPool(entry.pool) === key
    );
  }

  /** Lists the distinct pairs of pool and scheduler of all requests. */
  listScheduledPools(): ScheduledPool[] {
    const pools = new Map<string, ScheduledPool>();
    for (const { pool, scheduler } of this.#entries.values()) {
      if (pool !== undefined && scheduler !== undefined) {
        pools.set(`${formatPool(pool)}@${scheduler}`, { pool, scheduler });
      }
    }
    return [...pools.values()];
  }

  #count(phase: CallPhase): number {
    let count = 0;
    for (const entry of this.#entries.values()) {
      if (entry.phase === phase) {
        count++;
      }
    }
    return count;
  }
}
