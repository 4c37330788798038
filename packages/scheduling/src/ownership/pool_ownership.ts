/** Decides which pools of the zone this VM schedules. */

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
import { HolderWaits } from "./holder_waits.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import { LeaseObserver } from "./lease_observer.ts";
import { LeaseTable } from "./lease_table.ts";
import { OwnerChoice } from "./owner_choice.ts";
import { LossReason, type OwnershipListener } from "./ownership_listener.ts";
import { PauseDetector } from "./pause_detector.ts";
import type { OwnershipSettings } from "./settings.ts";
import type { TermBook } from "./term_book.ts";

/** A pause of the process longer than this part of a lease ends all roles. */
const PAUSE_FRACTION = 1 / 2;

/** How often the own pauses are looked for, as a part of a lease. */
const HEARTBEAT_FRACTION = 1 / 12;

/** How often the fleet is told of all held pools, whatever happens. */
const ANNOUNCE_MILLISECONDS = 30_000;

const HIGHEST_PROCESS_NUMBER = 0x7ffffffe;

/** What ownership needs. */
export interface PoolOwnershipOptions {
  self: VmContact;
  zone: ZoneView;
  table: TableService;
  terms: TermBook;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: OwnershipSettings;
  listener: OwnershipListener;
  /** Lists the pools of this VM's zone that the configuration names. */
  listPools: () => readonly PoolId[];
  /** Spreads a term through the fleet. */
  announce: (term: PoolTerm) => void;
}

/** A held pool, for status pages and metrics. */
export interface HeldPoolStatus {
  pool: PoolId;
  term: Term;
  leased: boolean;
}

/** Takes, keeps, hands over and gives up pools, all of them in each pass. */
export class PoolOwnership {
  readonly #options: PoolOwnershipOptions;
  readonly #choice: OwnerChoice;
  readonly #held: HeldPools;
  readonly #keeper: LeaseKeeper;
  readonly #pauses: PauseDetector;
  readonly #waits: HolderWaits;
  #released: HeldPool[] = [];
  #announcedAt: number;
  #leaving = false;
  #pause: ChildAbort | undefined;
  #wakeRequested = false;

  constructor(options: PoolOwnershipOptions) {
    const { self, clock, random, settings } = options;
    this.#options = options;
    this.#pauses = new PauseDetector({
      clock,
      longestMilliseconds: settings.leaseMilliseconds * PAUSE_FRACTION,
    });
    this.#announcedAt = clock.now();
    this.#choice = new OwnerChoice(options);
    this.#held = new HeldPools(options);
    const isLive = (vm: VmId) => this.#choice.isLive(vm);
    this.#waits = new HolderWaits({ ...options, self: self.vm, isLive });
    this.#keeper = new LeaseKeeper({
      ...options,
      self: self.vm,
      processId: `${self.vm}:${random.nextInteger(0, HIGHEST_PROCESS_NUMBER)}`,
      held: this.#held,
      table: new LeaseTable({ ...options, zone: self.zone }),
      observer: new LeaseObserver({
        self: self.vm,
        isLive,
        clock,
        settings,
      }),
      mayTakeLocally: (pool) =>
        this.#choice.isSettled() && !this.#waits.isLeftToHolder(pool),
      isLeftToHolder: (pool) => this.#waits.isLeftToHolder(pool),
    });
  }

  /** Runs passes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { terms, zone } = this.#options;
    this.#pauses.restart();
    this.#choice.follow(signal);
    terms.changes.listen((term) => this.#handleTerm(term), signal);
    zone.changes.listen((change) => {
      if (change.kind === MembershipChangeKind.Joined) {
        this.#announcedAt = -Infinity;
      }
      this.#wake();
    }, signal);
    await Promise.all([this.#runBeats(signal), this.#runPasses(signal)]);
  }

  /** Finds the term under which this VM may act for the pool right now. */
  findTerm(pool: PoolId): Term | undefined {
    this.#checkPause();
    return this.#held.find(pool)?.term;
  }

  /** Lists the held pools. */
  listHeld(): HeldPoolStatus[] {
    this.#checkPause();
    return this.#held.list().map(({ pool, term, lease }) => ({
      pool,
      term,
      leased: lease.leased,
    }));
  }

  /** Hears that the holder of a pool passed it to this VM. */
  handleHandover(pool: PoolId): void {
    this.#waits.addOffer(pool);
    this.#wake();
  }

  /** Hands all pools to the next VMs, and takes none any more. */
  async handOverAll(signal: AbortSignal): Promise<void> {
    this.#checkPause();
    this.#leaving = true;
    this.#keeper.abandon();
    const held = this.#held.list();
    for (const { pool } of held) {
      this.#passOn(pool, this.#choice.pickNext(pool));
    }
    await this.#keeper.release(held, signal);
  }

  async #runBeats(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#options;
    while (!signal.aborted) {
      this.#checkPause();
      await clock.sleep(
        settings.leaseMilliseconds * HEARTBEAT_FRACTION,
        signal,
      );
    }
  }

  async #runPasses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#checkPause();
      if (this.#choice.hasStarted() && !this.#leaving) {
        await this.#runPass(signal);
      }
      await this.#waitForTick(signal);
    }
  }

  async #runPass(signal: AbortSignal): Promise<void> {
    const pools = this.#options.listPools();
    this.#removeUnknown(pools);
    const wanted = pools.filter((pool) => this.#isChosen(pool));
    this.#handOverUnwanted(wanted);
    this.#announceAgain();
    const released = this.#released;
    this.#released = [];
    await this.#keeper.release(released, signal);
    await this.#keeper.renew(signal);
    if (this.#leaving) {
      return;
    }
    const missing = wanted.filter((pool) =>
      this.#held.find(pool) === undefined && this.#isChosen(pool)
    );
    await this.#keeper.acquire(missing, signal);
    this.#held.list().forEach(({ pool }) => this.#waits.remove(pool));
  }

  #isChosen(pool: PoolId): boolean {
    return this.#choice.pick(pool)?.vm === this.#options.self.vm;
  }

  #removeUnknown(pools: readonly PoolId[]): void {
    const known = new Set(pools.map(formatPool));
    for (const held of this.#held.list()) {
      if (!known.has(formatPool(held.pool))) {
        this.#released.push(held);
        this.#held.lose(held.pool, LossReason.Removed);
      }
    }
  }

  #handOverUnwanted(wanted: readonly PoolId[]): void {
    const kept = new Set(wanted.map(formatPool));
    for (const held of this.#held.list()) {
      const to = this.#choice.pick(held.pool);
      if (!kept.has(formatPool(held.pool)) && to !== undefined) {
        this.#released.push(held);
        this.#passOn(held.pool, to);
      }
    }
  }

  #passOn(pool: PoolId, to: VmContact | undefined): void {
    if (to === undefined) {
      this.#held.lose(pool, LossReason.Released);
      return;
    }
    this.#held.handOver(pool, to);
  }

  #announceAgain(): void {
    const now = this.#options.clock.now();
    if (now - this.#announcedAt >= ANNOUNCE_MILLISECONDS) {
      this.#announcedAt = now;
      this.#held.announceAll();
    }
  }

  /** Gives a pool up when a newer term is known, also of an earlier life. */
  #handleTerm(poolTerm: PoolTerm): void {
    const held = this.#held.find(poolTerm.pool);
    if (
      held !== undefined && compareTerms(poolTerm.term, held.term) > 0
    ) {
      this.#released.push(held);
      this.#held.lose(poolTerm.pool, LossReason.Superseded);
      this.#wake();
    }
  }

  /** Gives up all pools when the process was paused for too long. */
  #checkPause(): void {
    const { logger } = this.#options;
    const pause = this.#pauses.check();
    if (pause === undefined) {
      return;
    }
    logger.warn("process was paused; giving up all pools", {
      milliseconds: Math.round(pause),
    });
    this.#keeper.abandon();
    for (const { pool } of this.#held.list()) {
      this.#held.lose(pool, LossReason.Paused);
    }
  }

  #wake(): void {
    this.#wakeRequested = true;
    this.#pause?.abort();
  }

  async #waitForTick(signal: AbortSignal): Promise<void> {
    const { clock, settings } = this.#options;
    if (!this.#wakeRequested) {
      this.#pause = new ChildAbort(signal);
      await clock.sleep(settings.tickMilliseconds, this.#pause.signal);
      this.#pause.abort();
      this.#pause = undefined;
    }
    this.#wakeRequested = false;
  }
}
