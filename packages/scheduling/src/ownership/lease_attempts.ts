/** Lease writes of this process. */

import type { Clock } from "@rattanvane/base";
import type { PoolId, VmId } from "@rattanvane/protocol";
import type { HeldPool } from "./held_pools.ts";
import { type Lease, type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import type { LeaseWrite } from "./lease_table.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermRegistry } from "./term_registry.ts";

/** An attempt to acquire or renew the lease of a pool. */
export interface LeaseAttempt {
  pool: PoolId;
  /** Number of the term that a successful write confirms. */
  number: number;
  write: LeaseWrite;
}

/** Dependencies of `LeaseAttemptFactory`. */
export interface LeaseAttemptFactoryOptions {
  self: VmId;
  /** Unique for this process; the prefix of each claim. */
  processId: string;
  terms: TermRegistry;
  clock: Clock;
  settings: OwnershipSettings;
}

/**
 * Creates lease writes whose claims let this process identify the rows that it
 * wrote.
 */
export class LeaseAttemptFactory {
  readonly #options: LeaseAttemptFactoryOptions;
  #claimCount = 0;

  constructor(options: LeaseAttemptFactoryOptions) {
    this.#options = options;
  }

  /**
   * Whether a row still holds this process's current term, so that it can be
   * renewed without a higher number.
   */
  isRenewable(row: LeaseRow, held: HeldPool): boolean {
    const { processId, terms } = this.#options;
    return row.lease.claim.startsWith(`${processId}:`) &&
      row.lease.number === held.term.number &&
      terms.isCurrent(held.pool, held.term);
  }

  /**
   * Creates a renewal that keeps the term's number.
   *
   * @param row the row if it was read; by default, the one last written
   */
  createRenewal(held: HeldPool, row?: LeaseRow): LeaseAttempt {
    const version = row === undefined ? held.lease.version : row.version;
    const { number } = held.term;
    return this.#create(held.pool, { number, version, former: row?.lease });
  }

  /** Creates a write that acquires a lease under the next term number. */
  createAcquisition(pool: PoolId, row: LeaseRow | undefined): LeaseAttempt {
    const number = this.computeNextNumber(pool, row);
    const former = row?.lease;
    return this.#create(pool, { number, version: row?.version, former });
  }

  /** Computes a term number higher than all known numbers of a pool. */
  computeNextNumber(pool: PoolId, row: LeaseRow | undefined): number {
    const knownNumber = this.#options.terms.find(pool)?.term.number ?? 0;
    return Math.max(row?.lease.number ?? 0, knownNumber) + 1;
  }

  /** Creates the write that releases a lease, so that others may acquire it. */
  createRelease(held: HeldPool): LeaseWrite {
    return {
      pool: held.pool,
      version: held.lease.version,
      lease: {
        holder: NO_HOLDER,
        number: held.term.number,
        claim: this.#createClaim(),
        expiresAtWall: 0,
      },
    };
  }

  #create(
    pool: PoolId,
    options: {
      number: number;
      version: number | undefined;
      former: Lease | undefined;
    },
  ): LeaseAttempt {
    const { self, clock, settings } = this.#options;
    const { number, version, former } = options;
    const lease = {
      holder: self,
      number,
      claim: this.#createClaim(),
      expiresAtWall: clock.wallTime() + settings.leaseMilliseconds,
    };
    return { pool, number, write: { pool, version, lease, former } };
  }

  #createClaim(): string {
    this.#claimCount++;
    return `${this.#options.processId}:${this.#claimCount}`;
  }
}
