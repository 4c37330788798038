/** Writes of leases, as they are to be tried. */

import type { Clock } from "@rattanvane/base";
import type { PoolId, VmId } from "@rattanvane/protocol";
import type { HeldPool } from "./held_pools.ts";
import { type LeaseRow, NO_HOLDER } from "./lease_row.ts";
import type { LeaseWrite } from "./lease_table.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermBook } from "./term_book.ts";

/** A lease that is to be written for a pool. */
export interface LeaseAttempt {
  pool: PoolId;
  number: number;
  write: LeaseWrite;
}

/** What attempts are built from. */
export interface LeaseAttemptsOptions {
  self: VmId;
  /** Unique for this process; part of each claim. */
  processId: string;
  terms: TermBook;
  clock: Clock;
  settings: OwnershipSettings;
}

/** Builds writes whose rows this process knows again. */
export class LeaseAttempts {
  readonly #options: LeaseAttemptsOptions;
  #claims = 0;

  constructor(options: LeaseAttemptsOptions) {
    this.#options = options;
  }

  /** Whether a row still carries the held term, so that no raise is needed. */
  isOwn(row: LeaseRow, held: HeldPool): boolean {
    const { processId, terms } = this.#options;
    return row.lease.claim.startsWith(`${processId}:`) &&
      row.lease.number === held.term.number &&
      terms.isCurrent(held.pool, held.term);
  }

  /** Creates a renewal under the same number. */
  createRenewal(held: HeldPool, version: number | undefined): LeaseAttempt {
    return this.#create(held.pool, { number: held.term.number, version });
  }

  /** Creates a write under a number above every known one. */
  createRaise(pool: PoolId, row: LeaseRow | undefined): LeaseAttempt {
    const number = this.nextNumber(pool, row);
    return this.#create(pool, { number, version: row?.version });
  }

  /** The number above every one that is known of a pool. */
  nextNumber(pool: PoolId, row: LeaseRow | undefined): number {
    const known = this.#options.terms.find(pool)?.term.number ?? 0;
    return Math.max(row?.lease.number ?? 0, known) + 1;
  }

  /** Creates the write that lets others take the lease. */
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
    options: { number: number; version: number | undefined },
  ): LeaseAttempt {
    const { self, clock, settings } = this.#options;
    const { number, version } = options;
    const lease = {
      holder: self,
      number,
      claim: this.#createClaim(),
      expiresAtWall: clock.wallTime() + settings.leaseMilliseconds,
    };
    return { pool, number, write: { pool, version, lease } };
  }

  #createClaim(): string {
    this.#claims++;
    return `${this.#options.processId}:${this.#claims}`;
  }
}
