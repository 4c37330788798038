/** Starts and stops pool schedulers when the ownership of pools changes. */

import type { Logger } from "@rattanvane/base";
import {
  formatPool,
  type PoolId,
  type Term,
  type VmContact,
} from "@rattanvane/protocol";
import {
  type Acquisition,
  type LossReason,
  OwnershipListener,
  type TermChange,
} from "@rattanvane/scheduling";
import type { SchedulerHost } from "./scheduler_host.ts";

/** Dependencies of PoolRoles. */
export interface PoolRolesOptions {
  host: SchedulerHost;
  logger: Logger;
}

/** Runs a scheduler for each pool that this VM owns. */
export class PoolRoles extends OwnershipListener {
  readonly #options: PoolRolesOptions;
  readonly #signal: AbortSignal;

  /** Schedulers that still run when the signal aborts are stopped. */
  constructor(options: PoolRolesOptions, signal: AbortSignal) {
    super();
    this.#options = options;
    this.#signal = signal;
  }

  override acquired(pool: PoolId, term: Term, how: Acquisition): void {
    const { leased, previousHolder } = how;
    this.#options.logger.info("schedules a pool from now on", {
      pool: formatPool(pool),
      term: term.number,
      leased,
      previousHolder,
    });
    this.#options.host.start(pool, { term, leased }, this.#signal);
  }

  override termChanged(pool: PoolId, term: Term, change: TermChange): void {
    this.#options.logger.info("updated the term of a scheduled pool", {
      pool: formatPool(pool),
      term: term.number,
      leased: change.leased,
    });
    this.#options.host.updateTerm(pool, { term, ...change });
  }

  override lost(pool: PoolId, reason: LossReason): void {
    this.#options.logger.info("stopped scheduling a pool", {
      pool: formatPool(pool),
      reason,
    });
    this.#options.host.stop(pool);
  }

  override handedOver(pool: PoolId, to: VmContact): void {
    this.#options.logger.info("handing over a pool", {
      pool: formatPool(pool),
      to: to.vm,
    });
    this.#options.host.handOver(pool, to.vm);
  }
}
