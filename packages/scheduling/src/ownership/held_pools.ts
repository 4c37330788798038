/** The pools that this VM currently schedules. */

import type { Logger } from "@rattanvane/base";
import {
  formatPool,
  type PoolId,
  type PoolTerm,
  type Term,
  type VmContact,
} from "@rattanvane/protocol";
import type { LossReason, OwnershipListener } from "./ownership_listener.ts";
import type { TermRegistry } from "./term_registry.ts";

/** The lease of a held pool. */
export interface HeldLease {
  /**
   * False when the platform has not confirmed the term within the last lease
   * duration.
   */
  leased: boolean;
  /** Version of the lease row; undefined when the row must be read first. */
  version: number | undefined;
  /** When the last write that confirmed the term was sent; monotonic, in ms. */
  confirmedAt: number;
  /** When to renew the lease, or retry to acquire it; monotonic, in ms. */
  renewAt: number;
}

/** A pool that this VM schedules. */
export interface HeldPool {
  readonly pool: PoolId;
  term: Term;
  lease: HeldLease;
}

/** Dependencies of `HeldPools`. */
export interface HeldPoolsOptions {
  self: VmContact;
  terms: TermRegistry;
  listener: OwnershipListener;
  logger: Logger;
  /** Broadcasts a term to the fleet. */
  announce: (term: PoolTerm) => void;
}

/** Collection of held pools; notifies the listener and the fleet of changes. */
export class HeldPools {
  readonly #options: HeldPoolsOptions;
  readonly #pools = new Map<string, HeldPool>();

  constructor(options: HeldPoolsOptions) {
    this.#options = options;
  }

  /** Finds a pool if this VM holds it. */
  find(pool: PoolId): HeldPool | undefined {
    return this.#pools.get(formatPool(pool));
  }

  /** Lists the held pools. */
  list(): HeldPool[] {
    return [...this.#pools.values()];
  }

  /** Adds a pool that this VM has acquired. */
  add(pool: PoolId, held: { number: number; lease: HeldLease }): void {
    const { self, terms, listener, logger } = this.#options;
    const term = { number: held.number, holder: self.vm };
    const previousHolder = terms.find(pool)?.term.holder;
    this.#pools.set(formatPool(pool), { pool, term, lease: held.lease });
    logger.info("acquired pool", {
      pool: formatPool(pool),
      term: term.number,
      leased: held.lease.leased,
      previousHolder,
    });
    listener.acquired(pool, term, {
      leased: held.lease.leased,
      previousHolder,
    });
    this.#announce(pool, term);
  }

  /**
   * Updates the lease of a held pool, and its term when the number has
   * increased. The listener and the fleet are notified only if the number or
   * the leased state has changed.
   */
  update(held: HeldPool, next: { number: number; lease: HeldLease }): void {
    const { self, listener, logger } = this.#options;
    const hasNewNumber = next.number !== held.term.number;
    const isUnchanged = !hasNewNumber &&
      next.lease.leased === held.lease.leased;
    held.lease = next.lease;
    if (isUnchanged) {
      return;
    }
    held.term = { number: next.number, holder: self.vm };
    logger.warn(
      next.lease.leased
        ? "continuing to schedule pool with a lease"
        : "continuing to schedule pool without a lease",
      { pool: formatPool(held.pool), term: next.number },
    );
    listener.termChanged(held.pool, held.term, { leased: next.lease.leased });
    this.#announce(held.pool, held.term);
  }

  /** Removes a pool that this VM may no longer schedule. */
  remove(pool: PoolId, reason: LossReason): void {
    if (this.#pools.delete(formatPool(pool))) {
      this.#options.logger.warn("stopped scheduling pool", {
        pool: formatPool(pool),
        reason,
      });
      this.#options.listener.lost(pool, reason);
    }
  }

  /** Removes a pool that another VM is to schedule. */
  handOver(pool: PoolId, to: VmContact): void {
    if (this.#pools.delete(formatPool(pool))) {
      this.#options.logger.info("handed over pool", {
        pool: formatPool(pool),
        to: to.vm,
      });
      this.#options.listener.handedOver(pool, to);
    }
  }

  /** Announces the terms of all held pools to the fleet again. */
  announceAll(): void {
    for (const held of this.#pools.values()) {
      this.#announce(held.pool, held.term);
    }
  }

  #announce(pool: PoolId, term: Term): void {
    const { self, terms, announce } = this.#options;
    const poolTerm = { pool, term, contact: self };
    terms.record(poolTerm);
    announce(poolTerm);
  }
}
