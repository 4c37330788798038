/** The pools that this VM schedules. */

import type { Logger } from "@rattanvane/base";
import {
  formatPool,
  type PoolId,
  type PoolTerm,
  type Term,
  type VmContact,
} from "@rattanvane/protocol";
import type { LossReason, OwnershipListener } from "./ownership_listener.ts";
import type { TermBook } from "./term_book.ts";

/** The lease of a held pool. */
export interface HeldLease {
  /** False when the platform has not confirmed the term for a lease's time. */
  leased: boolean;
  /** The version of the row; undefined when it has to be read first. */
  version: number | undefined;
  /** When the last write that confirmed the term was sent; monotonic. */
  confirmedAt: number;
  /** When the lease is to be renewed, or tried for; monotonic. */
  renewAt: number;
}

/** A pool that this VM schedules. */
export interface HeldPool {
  readonly pool: PoolId;
  term: Term;
  lease: HeldLease;
}

/** What holding pools needs. */
export interface HeldPoolsOptions {
  self: VmContact;
  terms: TermBook;
  listener: OwnershipListener;
  logger: Logger;
  /** Spreads a term through the fleet. */
  announce: (term: PoolTerm) => void;
}

/** Keeps the held pools, and tells the listener and the fleet of them. */
export class HeldPools {
  readonly #options: HeldPoolsOptions;
  readonly #held = new Map<string, HeldPool>();

  constructor(options: HeldPoolsOptions) {
    this.#options = options;
  }

  /** Finds a held pool. */
  find(pool: PoolId): HeldPool | undefined {
    return this.#held.get(formatPool(pool));
  }

  /** Lists the held pools. */
  list(): HeldPool[] {
    return [...this.#held.values()];
  }

  /** Starts to hold a pool. */
  acquire(pool: PoolId, held: { number: number; lease: HeldLease }): void {
    const { self, terms, listener, logger } = this.#options;
    const term = { number: held.number, holder: self.vm };
    const previousHolder = terms.find(pool)?.term.holder;
    this.#held.set(formatPool(pool), { pool, term, lease: held.lease });
    logger.info("acquired the pool", {
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

  /** Changes the lease of a held pool, and its term where it was raised. */
  update(held: HeldPool, next: { number: number; lease: HeldLease }): void {
    const { self, listener, logger } = this.#options;
    const isRaised = next.number !== held.term.number;
    const isSame = !isRaised && next.lease.leased === held.lease.leased;
    held.lease = next.lease;
    if (isSame) {
      return;
    }
    held.term = { number: next.number, holder: self.vm };
    logger.warn(
      next.lease.leased
        ? "goes on with the pool under a lease"
        : "goes on with the pool without a lease",
      { pool: formatPool(held.pool), term: next.number },
    );
    listener.termChanged(held.pool, held.term, { leased: next.lease.leased });
    this.#announce(held.pool, held.term);
  }

  /** Stops to hold a pool. */
  lose(pool: PoolId, reason: LossReason): void {
    if (this.#held.delete(formatPool(pool))) {
      this.#options.logger.warn("gave up the pool", {
        pool: formatPool(pool),
        reason,
      });
      this.#options.listener.lost(pool, reason);
    }
  }

  /** Stops to hold a pool in favour of another VM. */
  handOver(pool: PoolId, to: VmContact): void {
    if (this.#held.delete(formatPool(pool))) {
      this.#options.logger.info("handed the pool over", {
        pool: formatPool(pool),
        to: to.vm,
      });
      this.#options.listener.handedOver(pool, to);
    }
  }

  /** Tells the fleet of all held pools again. */
  announceAll(): void {
    for (const held of this.#held.values()) {
      this.#announce(held.pool, held.term);
    }
  }

  #announce(pool: PoolId, term: Term): void {
    const { self, terms, announce } = this.#options;
    const poolTerm = { pool, term, contact: self };
    terms.learn(poolTerm);
    announce(poolTerm);
  }
}
