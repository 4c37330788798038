/** All requests that wait or run at this VM. */

import {
  formatPool,
  type PoolId,
  type RequestId,
  type VmId,
} from "@rattanvane/protocol";
import { CallPhase, type LedgerEntry } from "./ledger_entry.ts";

/** A pool together with the VM that was asked to schedule it. */
export interface ScheduledPool {
  pool: PoolId;
  scheduler: VmId;
}

/** The requests of one ingress, which is the only place that owns them. */
export class CallLedger {
  readonly #entries = new Map<RequestId, LedgerEntry>();

  /** How many requests wait for a grant. */
  get waiting(): number {
    return this.#count(CallPhase.Waiting);
  }

  /** How many requests run at an endpoint. */
  get running(): number {
    return this.#count(CallPhase.Running);
  }

  /** How many requests are held in any phase. */
  get size(): number {
    return this.#entries.size;
  }

  /** Adds a request. */
  add(entry: LedgerEntry): void {
    this.#entries.set(entry.call.request, entry);
  }

  /** Removes a request that has been answered. */
  remove(entry: LedgerEntry): void {
    this.#entries.delete(entry.call.request);
  }

  /** Finds a request. */
  find(request: RequestId): LedgerEntry | undefined {
    return this.#entries.get(request);
  }

  /** Lists the requests in one phase. */
  listPhase(phase: CallPhase): LedgerEntry[] {
    return [...this.#entries.values()].filter((entry) => entry.phase === phase);
  }

  /** Lists the requests that wait or run in a pool. */
  listPool(pool: PoolId): LedgerEntry[] {
    const key = formatPool(pool);
    return [...this.#entries.values()].filter((entry) =>
      entry.pool !== undefined && formatPool(entry.pool) === key
    );
  }

  /** Lists each pool and scheduler that some request waits or runs with. */
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
