/** Ownership of pools: which pools of the zone this VM schedules. */

import {
  ChildAbort,
  type Clock,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import { MembershipChangeKind, type ZoneView } from "@rattanvane/membership";
import type { TableService } from "@rattanvane/platform";
import {
  compareTerms,
  formatPool,
  type PoolId,
  type PoolTerm,
  type Term,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import { type HeldPool, HeldPools } from "./held_pools.ts";
import { HolderGracePeriods } from "./holder_grace_periods.ts";
import { LeaseManager } from "./lease_manager.ts";
import { LeaseObserver } from "./lease_observer.ts";
import { LeaseTable } from "./lease_table.ts";
import { OwnerSelector } from "./owner_selector.ts";
import { LossReason, type OwnershipListener } from "./ownership_listener.ts";
import { PauseDetector } from "./pause_detector.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermRegistry } from "./term_registry.ts";

/**
 * Fraction of the lease duration; after a longer pause of the process, all
 * pools are given up.
 */
const PAUSE_THRESHOLD_FRACTION = 1 / 2;

/** Interval between checks for pauses, as a fraction of the lease duration. */
const PAUSE_CHECK_FRACTION = 1 / 12;

/** Interval at which all held pools are announced, even without changes. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 30_000;

const MAXIMUM_PROCESS_NUMBER = 0x7ffffffe;

/** Dependencies of `PoolOwnership`. */
export interface PoolOwnershipOptions {
  self: VmContact;
  zone: ZoneView;
  table: TableService;
  terms: TermRegistry;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: OwnershipSettings;
  listener: OwnershipListener;
  /** Lists the pools of this VM's zone that the configuration names. */
  listPools: () => readonly PoolId[];
  /** Broadcasts a term to the fleet. */
  announce: (term: PoolTerm) => void;
}

/** Status of a held pool, for status pages and metrics. */
export interface HeldPoolStatus {
  pool: PoolId;
  term: Term;
  /** False when the term is not confirmed or its lease has expired. */
  leased: boolean;
}

/**
 * Acquires, renews, hands over and releases pools. Each pass reconciles all
 * held pools with those that are assigned to this VM.
 */
export class PoolOwnership {
  readonly #options: PoolOwnershipOptions;
  readonly #selector: OwnerSelector;
  readonly #heldPools: HeldPools;
  readonly #leaseManager: LeaseManager;
  readonly #pauseDetector: PauseDetector;
  readonly #gracePeriods: HolderGracePeriods;
  #pendingReleases: HeldPool[] = [];
  #announcedAt: number;
  #isLeaving = false;
  #passDelay: ChildAbort | undefined;
  #isPassRequested = false;

  constructor(options: PoolOwnershipOptions) {
    const { self, clock, random, settings } = options;
    this.#options = options;
    this.#pauseDetector = new PauseDetector({
      clock,
      thresholdMilliseconds: settings.leaseMilliseconds *
        PAUSE_THRESHOLD_FRACTION,
    });
    this.#announcedAt = clock.now();
    this.#selector = new OwnerSelector(options);
    this.#heldPools = new HeldPools(options);
    const isLive = (vm: VmId) => this.#selector.isLive(vm);
    this.#gracePeriods = new HolderGracePeriods({
      ...options,
      self: self.vm,
      isLive,
    });
    this.#leaseManager = new LeaseManager({
      ...options,
      self: self.vm,
      processId: `${self.vm}:${random.nextInteger(0, MAXIMUM_PROCESS_NUMBER)}`,
      heldPools: this.#heldPools,
      table: new LeaseTable({ ...options, zone: self.zone }),
      observer: new LeaseObserver({
        self: self.vm,
        isLive,
        clock,
        settings,
      }),
      mayAcquireUnleased: (pool) =>
        this.#selector.isStable() &&
        !this.#gracePeriods.isReservedForHolder(pool),
      isReservedForHolder: (pool) =>
        this.#gracePeriods.isReservedForHolder(pool),
    });
  }

  /** Runs passes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { terms, zone } = this.#options;
    this.#pauseDetector.reset();
    this.#selector.start(signal);
    terms.changes.listen((term) => this.#handleTerm(term), signal);
    zone.changes.listen((change) => {
      if (change.kind === MembershipChangeKind.Joined) {
        this.#announcedAt = -Infinity;
      }
      this.#requestPass();
    }, signal);
    await Promise.all([this.#runPauseChecks(signal), this.#runPasses(signal)]);
  }

  /** Finds the term under which this VM may act for the pool right now. */
  findTerm(pool: PoolId): Term | undefined {
    this.#detectPause();
    return this.#heldPools.find(pool)?.term;
  }

  /** Lists the held pools. */
  listHeld(): HeldPoolStatus[] {
    this.#detectPause();
    return this.#heldPools.list().map(({ pool, term, lease }) => ({
      pool,
      term,
      leased: lease.leased,
    }));
  }

  /** Handles the message that a pool's holder handed it over to this VM. */
  handleHandover(pool: PoolId): void {
    this.#gracePeriods.addOffer(pool);
    this.#requestPass();
  }

  /** Hands all pools over to other VMs; no pool is acquired afterwards. */
  async handOverAll(signal: AbortSignal): Promise<void> {
    this.#detectPause();
    this.#isLeaving = true;
    this.#leaseManager.discardPending();
    const held = this.#heldPools.list();
    for (const { pool } of held) {
      this.#handOverOrRemove(pool, this.#selector.pickSuccessor(pool));
    }
    await this.#leaseManager.release(held, signal);
  }

  async #runPauseChecks(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#options;
    while (!signal.aborted) {
      this.#detectPause();
      await clock.sleep(
        settings.leaseMilliseconds * PAUSE_CHECK_FRACTION,
        signal,
      );
    }
  }

  async #runPasses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#detectPause();
      if (this.#selector.isDiscoveryComplete() && !this.#isLeaving) {
        await this.#runPass(signal);
      }
      await this.#waitForNextPass(signal);
    }
  }

  async #runPass(signal: AbortSignal): Promise<void> {
    const pools = this.#options.listPools();
    this.#removeUnconfigured(pools);
    const assigned = pools.filter((pool) => this.#isAssignedToSelf(pool));
    this.#handOverUnassigned(assigned);
    this.#announceIfDue();
    const released = this.#pendingReleases;
    this.#pendingReleases = [];
    await this.#leaseManager.release(released, signal);
    await this.#leaseManager.renew(signal);
    if (this.#isLeaving) {
      return;
    }
    const missing = assigned.filter((pool) =>
      this.#heldPools.find(pool) === undefined && this.#isAssignedToSelf(pool)
    );
    await this.#leaseManager.acquire(missing, signal);
    this.#heldPools.list().forEach(({ pool }) =>
      this.#gracePeriods.remove(pool)
    );
  }

  #isAssignedToSelf(pool: PoolId): boolean {
    return this.#selector.pick(pool)?.vm === this.#options.self.vm;
  }

  #removeUnconfigured(pools: readonly PoolId[]): void {
    const configuredKeys = new Set(pools.map(formatPool));
    for (const held of this.#heldPools.list()) {
      if (!configuredKeys.has(formatPool(held.pool))) {
        this.#pendingReleases.push(held);
        this.#heldPools.remove(held.pool, LossReason.Removed);
      }
    }
  }

  #handOverUnassigned(assigned: readonly PoolId[]): void {
    const assignedKeys = new Set(assigned.map(formatPool));
    for (const held of this.#heldPools.list()) {
      const to = this.#selector.pick(held.pool);
      if (!assignedKeys.has(formatPool(held.pool)) && to !== undefined) {
        this.#pendingReleases.push(held);
        this.#handOverOrRemove(held.pool, to);
      }
    }
  }

  #handOverOrRemove(pool: PoolId, to: VmContact | undefined): void {
    if (to === undefined) {
      this.#heldPools.remove(pool, LossReason.Released);
      return;
    }
    this.#heldPools.handOver(pool, to);
  }

  #announceIfDue(): void {
    const now = this.#options.clock.now();
    if (now - this.#announcedAt >= ANNOUNCE_INTERVAL_MILLISECONDS) {
      this.#announcedAt = now;
      this.#heldPools.announceAll();
    }
  }

  /**
   * Gives up a pool when a newer term is known, even one of this VM from before
   * a restart.
   */
  #handleTerm(poolTerm: PoolTerm): void {
    const held = this.#heldPools.find(poolTerm.pool);
    if (
      held !== undefined && compareTerms(poolTerm.term, held.term) > 0
    ) {
      this.#pendingReleases.push(held);
      this.#heldPools.remove(poolTerm.pool, LossReason.Superseded);
      this.#requestPass();
    }
  }

  /** Gives up all pools when the process was paused for too long. */
  #detectPause(): void {
    const { logger } = this.#options;
    const pause = this.#pauseDetector.check();
    if (pause === undefined) {
      return;
    }
    logger.warn("process was paused for too long; giving up all pools", {
      milliseconds: Math.round(pause),
    });
    this.#leaseManager.discardPending();
    for (const { pool } of this.#heldPools.list()) {
      this.#heldPools.remove(pool, LossReason.Paused);
    }
  }

  #requestPass(): void {
    this.#isPassRequested = true;
    this.#passDelay?.abort();
  }

  async #waitForNextPass(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#options;
    if (!this.#isPassRequested) {
      this.#passDelay = new ChildAbort(signal);
      await clock.sleep(
        settings.passIntervalMilliseconds,
        this.#passDelay.signal,
      );
      this.#passDelay.abort();
      this.#passDelay = undefined;
    }
    this.#isPassRequested = false;
  }
}
