/** Takes, renews and releases the leases of pools. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import type { HeldLease, HeldPool, HeldPools } from "./held_pools.ts";
import { type LeaseAttempt, LeaseAttempts } from "./lease_attempts.ts";
import { type LeaseObserver, LeaseVerdict } from "./lease_observer.ts";
import type { LeaseRow } from "./lease_row.ts";
import {
  type LeaseTable,
  type LeaseWriteResult,
  LeaseWriteStatus,
} from "./lease_table.ts";
import { LossReason } from "./ownership_listener.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermBook } from "./term_book.ts";

/** A lease is renewed after this part of its time. */
const RENEWAL_FRACTION = 1 / 3;

/** What keeping leases needs. */
export interface LeaseKeeperOptions {
  self: VmId;
  /** Unique for this process; part of each claim. */
  processId: string;
  held: HeldPools;
  terms: TermBook;
  table: LeaseTable;
  observer: LeaseObserver;
  clock: Clock;
  settings: OwnershipSettings;
  /** Whether a pool may be taken without the platform's word. */
  mayTakeLocally: (pool: PoolId) => boolean;
  /** Whether a pool is left to the live holder of the highest known term. */
  isLeftToHolder: (pool: PoolId) => boolean;
}

type Rows = ReadonlyMap<string, LeaseRow>;

/**
 * Works on all pools of a pass at once. A result that comes after the roles
 * were given up is dropped; `abandon` marks that point.
 */
export class LeaseKeeper {
  readonly #options: LeaseKeeperOptions;
  readonly #attempts: LeaseAttempts;
  #epoch = 0;

  constructor(options: LeaseKeeperOptions) {
    this.#options = options;
    this.#attempts = new LeaseAttempts(options);
  }

  /** Makes results that are still awaited count for nothing. */
  abandon(): void {
    this.#epoch++;
  }

  /** Takes pools that this VM should schedule and does not hold yet. */
  async acquire(pools: readonly PoolId[], signal: AbortSignal): Promise<void> {
    const epoch = this.#epoch;
    const rows = pools.length > 0 ? await this.#read(signal) : undefined;
    if (epoch !== this.#epoch) {
      return;
    }
    if (rows === undefined) {
      this.#acquireLocally(pools, new Map());
      return;
    }
    const judged = pools.map((pool) => ({
      pool,
      verdict: this.#judgeVacant(pool, rows),
    }));
    this.#acquireLocally(
      judged.filter(({ verdict }) => verdict === LeaseVerdict.HeldElsewhere)
        .map(({ pool }) => pool),
      rows,
    );
    const attempts = judged
      .filter(({ verdict }) => verdict === LeaseVerdict.Free)
      .map(({ pool }) =>
        this.#attempts.createRaise(pool, rows.get(formatPool(pool)))
      );
    const startedAt = this.#options.clock.now();
    const results = await this.#write(attempts, signal);
    if (epoch !== this.#epoch) {
      return;
    }
    for (const { pool, number } of attempts) {
      const result = results.get(formatPool(pool));
      if (result?.status === LeaseWriteStatus.Written) {
        const lease = this.#confirm(startedAt, result.version);
        this.#options.held.acquire(pool, { number, lease });
      }
    }
  }

  /** Renews the leases that are due, and tries for those that lapsed. */
  async renew(signal: AbortSignal): Promise<void> {
    const { clock, held, table } = this.#options;
    const now = clock.now();
    const due = held.list().filter(({ lease }) => lease.renewAt <= now);
    this.#checkLapsed();
    if (due.length === 0 || !table.isUsable()) {
      return;
    }
    const epoch = this.#epoch;
    const needsRows = due.some((pool) => !this.#isSimple(pool));
    const rows = needsRows ? await this.#read(signal) : undefined;
    if (epoch !== this.#epoch) {
      return;
    }
    const attempts = due.filter((pool) => this.#isHeld(pool))
      .map((pool) => this.#createRenewal(pool, rows))
      .filter((attempt) => attempt !== undefined);
    const startedAt = clock.now();
    const results = await this.#write(attempts, signal);
    if (epoch !== this.#epoch) {
      return;
    }
    for (const attempt of attempts) {
      const result = results.get(formatPool(attempt.pool));
      if (result !== undefined) {
        this.#finishRenewal(attempt, { result, startedAt });
      }
    }
    this.#checkLapsed();
  }

  /** Releases the leases of pools that this VM has stopped to hold. */
  async release(
    pools: readonly HeldPool[],
    signal: AbortSignal,
  ): Promise<void> {
    const { table } = this.#options;
    const leased = pools.filter(({ lease }) => lease.version !== undefined);
    if (leased.length === 0 || !table.isUsable()) {
      return;
    }
    // A lost release costs no more than the lease's time.
    await table.write(
      leased.map((pool) => this.#attempts.createRelease(pool)),
      signal,
    );
  }

  async #read(signal: AbortSignal): Promise<Rows | undefined> {
    const { table, observer } = this.#options;
    if (!table.isUsable()) {
      return undefined;
    }
    const rows = await table.read(signal);
    if (rows !== undefined) {
      observer.observe(rows);
    }
    return rows;
  }

  async #write(attempts: readonly LeaseAttempt[], signal: AbortSignal) {
    const { table } = this.#options;
    return await table.write(attempts.map(({ write }) => write), signal);
  }

  #acquireLocally(pools: readonly PoolId[], rows: Rows): void {
    const { clock, held, mayTakeLocally } = this.#options;
    const now = clock.now();
    for (const pool of pools) {
      if (held.find(pool) === undefined && mayTakeLocally(pool)) {
        const row = rows.get(formatPool(pool));
        const lease = {
          leased: false,
          version: undefined,
          confirmedAt: now,
          renewAt: now + this.#renewalPause(),
        };
        held.acquire(pool, {
          number: this.#attempts.nextNumber(pool, row),
          lease,
        });
      }
    }
  }

  /** Judges whether a pool that this VM does not hold may be taken. */
  #judgeVacant(pool: PoolId, rows: Rows): LeaseVerdict {
    const { terms, isLeftToHolder } = this.#options;
    const verdict = this.#judge(pool, rows);
    const rowNumber = rows.get(formatPool(pool))?.lease.number ?? 0;
    const known = terms.find(pool)?.term.number ?? 0;
    // A term above the row's is held without a lease, by a VM that may not
    // have reached the platform yet.
    const isHeldLocally = known > rowNumber && isLeftToHolder(pool);
    return verdict === LeaseVerdict.Free && isHeldLocally
      ? LeaseVerdict.Held
      : verdict;
  }

  #judge(pool: PoolId, rows: Rows): LeaseVerdict {
    return this.#options.observer.judge(pool, rows.get(formatPool(pool)));
  }

  /** Whether a renewal needs no look at the row. */
  #isSimple(held: HeldPool): boolean {
    return held.lease.leased && held.lease.version !== undefined;
  }

  #isHeld(held: HeldPool): boolean {
    return this.#options.held.find(held.pool) === held;
  }

  #createRenewal(
    held: HeldPool,
    rows: Rows | undefined,
  ): LeaseAttempt | undefined {
    const { pool, lease } = held;
    if (this.#isSimple(held)) {
      return this.#attempts.createRenewal(held, lease.version);
    }
    if (rows === undefined) {
      return undefined;
    }
    const row = rows.get(formatPool(pool));
    if (row !== undefined && this.#attempts.isOwn(row, held)) {
      return this.#attempts.createRenewal(held, row.version);
    }
    if (this.#judge(pool, rows) !== LeaseVerdict.Free) {
      this.#postpone(held);
      return undefined;
    }
    return this.#attempts.createRaise(pool, row);
  }

  #finishRenewal(
    attempt: LeaseAttempt,
    outcome: { result: LeaseWriteResult; startedAt: number },
  ): void {
    const { held, observer } = this.#options;
    const pool = held.find(attempt.pool);
    if (pool === undefined) {
      return;
    }
    switch (outcome.result.status) {
      case LeaseWriteStatus.Written: {
        const { version } = outcome.result;
        const lease = this.#confirm(outcome.startedAt, version);
        held.update(pool, { number: attempt.number, lease });
        return;
      }
      case LeaseWriteStatus.Conflict:
        observer.addConflict(attempt.pool);
        if (pool.lease.leased) {
          held.lose(attempt.pool, LossReason.Superseded);
        }
        return;
      case LeaseWriteStatus.Unknown:
        pool.lease = { ...pool.lease, version: undefined };
        return;
      case LeaseWriteStatus.Failed:
    }
  }

  #checkLapsed(): void {
    const { clock, held, settings } = this.#options;
    for (const pool of held.list()) {
      const age = clock.now() - pool.lease.confirmedAt;
      if (pool.lease.leased && age >= settings.leaseMilliseconds) {
        const lease = { ...pool.lease, leased: false };
        held.update(pool, { number: pool.term.number, lease });
      }
    }
  }

  #confirm(startedAt: number, version: number): HeldLease {
    return {
      leased: true,
      version,
      confirmedAt: startedAt,
      renewAt: startedAt + this.#renewalPause(),
    };
  }

  #postpone(held: HeldPool): void {
    const renewAt = this.#options.clock.now() + this.#renewalPause();
    held.lease = { ...held.lease, renewAt };
  }

  #renewalPause(): number {
    return this.#options.settings.leaseMilliseconds * RENEWAL_FRACTION;
  }
}
