/** Acquisition, renewal and release of the leases of pools. */

import type { Clock } from "@rattanvane/base";
import { formatPool, type PoolId, type VmId } from "@rattanvane/protocol";
import type { HeldLease, HeldPool, HeldPools } from "./held_pools.ts";
import { type LeaseAttempt, LeaseAttemptFactory } from "./lease_attempts.ts";
import { type LeaseObserver, LeaseState } from "./lease_observer.ts";
import type { LeaseRow } from "./lease_row.ts";
import {
  type LeaseTable,
  type LeaseWriteResult,
  LeaseWriteStatus,
} from "./lease_table.ts";
import { LossReason } from "./ownership_listener.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermRegistry } from "./term_registry.ts";

/** Fraction of its duration after which a lease is renewed. */
const RENEWAL_FRACTION = 1 / 3;

/** Dependencies of `LeaseManager`. */
export interface LeaseManagerOptions {
  self: VmId;
  /** Unique for this process; the prefix of each claim. */
  processId: string;
  heldPools: HeldPools;
  terms: TermRegistry;
  table: LeaseTable;
  observer: LeaseObserver;
  clock: Clock;
  settings: OwnershipSettings;
  /** Whether a pool may be acquired without a lease from the platform. */
  mayAcquireUnleased: (pool: PoolId) => boolean;
  /** Whether a pool is reserved for the live holder of its highest term. */
  isReservedForHolder: (pool: PoolId) => boolean;
}

type Rows = ReadonlyMap<string, LeaseRow>;

/**
 * Acquires, renews and releases the leases of all pools of a pass in batches.
 * Results that arrive after the pools were given up must not take effect;
 * `discardPending` marks that point.
 */
export class LeaseManager {
  readonly #options: LeaseManagerOptions;
  readonly #attemptFactory: LeaseAttemptFactory;
  #epoch = 0;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#attemptFactory = new LeaseAttemptFactory(options);
  }

  /** Discards the results of all operations in progress. */
  discardPending(): void {
    this.#epoch++;
  }

  /** Acquires pools that are assigned to this VM but not held by it yet. */
  async acquire(pools: readonly PoolId[], signal: AbortSignal): Promise<void> {
    const epoch = this.#epoch;
    const rows = pools.length > 0 ? await this.#readRows(signal) : undefined;
    if (epoch !== this.#epoch) {
      return;
    }
    if (rows === undefined) {
      this.#acquireUnleased(pools, new Map());
      return;
    }
    const judged = pools.map((pool) => ({
      pool,
      state: this.#judgeUnheld(pool, rows),
    }));
    this.#acquireUnleased(
      judged.filter(({ state }) => state === LeaseState.HeldElsewhere)
        .map(({ pool }) => pool),
      rows,
    );
    const attempts = judged
      .filter(({ state }) => state === LeaseState.Free)
      .map(({ pool }) =>
        this.#attemptFactory.createAcquisition(pool, rows.get(formatPool(pool)))
      );
    const sentAt = this.#options.clock.now();
    const results = await this.#writeAttempts(attempts, signal);
    if (epoch !== this.#epoch) {
      return;
    }
    for (const { pool, number } of attempts) {
      const result = results.get(formatPool(pool));
      if (result?.status === LeaseWriteStatus.Written) {
        const lease = this.#createConfirmedLease(sentAt, result.version);
        this.#options.heldPools.add(pool, { number, lease });
      }
    }
  }

  /** Renews the leases that are due, and retries to acquire expired ones. */
  async renew(signal: AbortSignal): Promise<void> {
    const { clock, heldPools, table } = this.#options;
    const now = clock.now();
    const due = heldPools.list().filter(({ lease }) => lease.renewAt <= now);
    this.#markExpired();
    if (due.length === 0 || !table.isAvailable()) {
      return;
    }
    const epoch = this.#epoch;
    const needsRows = due.some((held) => !this.#isRenewableWithoutRead(held));
    const rows = needsRows ? await this.#readRows(signal) : undefined;
    if (epoch !== this.#epoch) {
      return;
    }
    const attempts = due.filter((held) => this.#isHeld(held))
      .map((held) => this.#createRenewal(held, rows))
      .filter((attempt) => attempt !== undefined);
    const sentAt = clock.now();
    const results = await this.#writeAttempts(attempts, signal);
    if (epoch !== this.#epoch) {
      return;
    }
    for (const attempt of attempts) {
      const result = results.get(formatPool(attempt.pool));
      if (result !== undefined) {
        this.#applyRenewal(attempt, { result, sentAt });
      }
    }
    this.#markExpired();
  }

  /** Releases the leases of pools that this VM no longer holds. */
  async release(
    pools: readonly HeldPool[],
    signal: AbortSignal,
  ): Promise<void> {
    const { table } = this.#options;
    const leased = pools.filter(({ lease }) => lease.version !== undefined);
    if (leased.length === 0 || !table.isAvailable()) {
      return;
    }
    // The result is ignored: a lost release only delays the next holder until
    // the lease expires.
    await table.write(
      leased.map((held) => this.#attemptFactory.createRelease(held)),
      signal,
    );
  }

  async #readRows(signal: AbortSignal): Promise<Rows | undefined> {
    const { table, observer } = this.#options;
    if (!table.isAvailable()) {
      return undefined;
    }
    const rows = await table.read(signal);
    if (rows !== undefined) {
      observer.observe(rows);
    }
    return rows;
  }

  async #writeAttempts(attempts: readonly LeaseAttempt[], signal: AbortSignal) {
    const { table } = this.#options;
    return await table.write(attempts.map(({ write }) => write), signal);
  }

  #acquireUnleased(pools: readonly PoolId[], rows: Rows): void {
    const { clock, heldPools, mayAcquireUnleased } = this.#options;
    const now = clock.now();
    for (const pool of pools) {
      if (heldPools.find(pool) === undefined && mayAcquireUnleased(pool)) {
        const row = rows.get(formatPool(pool));
        const lease = {
          leased: false,
          version: undefined,
          confirmedAt: now,
          renewAt: now + this.#computeRenewalInterval(),
        };
        heldPools.add(pool, {
          number: this.#attemptFactory.computeNextNumber(pool, row),
          lease,
        });
      }
    }
  }

  /** Judges whether a pool that this VM does not hold may be acquired. */
  #judgeUnheld(pool: PoolId, rows: Rows): LeaseState {
    const { terms, isReservedForHolder } = this.#options;
    const state = this.#judge(pool, rows);
    const rowNumber = rows.get(formatPool(pool))?.lease.number ?? 0;
    const knownNumber = terms.find(pool)?.term.number ?? 0;
    // A known term above the row's is held without a lease, by a VM that may
    // not have reached the platform yet.
    const isHeldUnleased = knownNumber > rowNumber &&
      isReservedForHolder(pool);
    return state === LeaseState.Free && isHeldUnleased
      ? LeaseState.Held
      : state;
  }

  #judge(pool: PoolId, rows: Rows): LeaseState {
    return this.#options.observer.judge(pool, rows.get(formatPool(pool)));
  }

  /** Whether the lease can be renewed without reading its row first. */
  #isRenewableWithoutRead(held: HeldPool): boolean {
    return held.lease.leased && held.lease.version !== undefined;
  }

  #isHeld(held: HeldPool): boolean {
    return this.#options.heldPools.find(held.pool) === held;
  }

  #createRenewal(
    held: HeldPool,
    rows: Rows | undefined,
  ): LeaseAttempt | undefined {
    const { pool } = held;
    if (this.#isRenewableWithoutRead(held)) {
      return this.#attemptFactory.createRenewal(held);
    }
    if (rows === undefined) {
      return undefined;
    }
    const row = rows.get(formatPool(pool));
    if (row !== undefined && this.#attemptFactory.isRenewable(row, held)) {
      return this.#attemptFactory.createRenewal(held, row);
    }
    if (this.#judge(pool, rows) !== LeaseState.Free) {
      this.#postponeRenewal(held);
      return undefined;
    }
    return this.#attemptFactory.createAcquisition(pool, row);
  }

  #applyRenewal(
    attempt: LeaseAttempt,
    outcome: { result: LeaseWriteResult; sentAt: number },
  ): void {
    const { heldPools, observer } = this.#options;
    const held = heldPools.find(attempt.pool);
    if (held === undefined) {
      return;
    }
    switch (outcome.result.status) {
      case LeaseWriteStatus.Written: {
        const { version } = outcome.result;
        const lease = this.#createConfirmedLease(outcome.sentAt, version);
        heldPools.update(held, { number: attempt.number, lease });
        return;
      }
      case LeaseWriteStatus.Conflict:
        observer.addConflict(attempt.pool);
        if (held.lease.leased) {
          heldPools.remove(attempt.pool, LossReason.Superseded);
        }
        return;
      case LeaseWriteStatus.Unknown:
        held.lease = { ...held.lease, version: undefined };
        return;
      case LeaseWriteStatus.Failed:
    }
  }

  #markExpired(): void {
    const { clock, heldPools, settings } = this.#options;
    for (const held of heldPools.list()) {
      const age = clock.now() - held.lease.confirmedAt;
      if (held.lease.leased && age >= settings.leaseMilliseconds) {
        const lease = { ...held.lease, leased: false };
        heldPools.update(held, { number: held.term.number, lease });
      }
    }
  }

  #createConfirmedLease(sentAt: number, version: number): HeldLease {
    return {
      leased: true,
      version,
      confirmedAt: sentAt,
      renewAt: sentAt + this.#computeRenewalInterval(),
    };
  }

  #postponeRenewal(held: HeldPool): void {
    const renewAt = this.#options.clock.now() + this.#computeRenewalInterval();
    held.lease = { ...held.lease, renewAt };
  }

  #computeRenewalInterval(): number {
    return this.#options.settings.leaseMilliseconds * RENEWAL_FRACTION;
  }
}
