/** The pool schedulers that this VM runs. */

import {
  ChildAbort,
  type Clock,
  describeError,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { FleetConfiguration } from "@rattanvane/configuration";
import type { SuspectRegistry } from "@rattanvane/limits";
import {
  formatPool,
  type HandoverMessage,
  MessageKind,
  type MessageSender,
  type PoolId,
  type SchedulerMessage,
  type Term,
  type VmContact,
  type VmId,
  type ZoneId,
} from "@rattanvane/protocol";
import {
  type PoolObserver,
  type PoolPeers,
  PoolScheduler,
  type PoolSchedulerSettings,
  type PoolStatus,
} from "@rattanvane/scheduling";
import type { LoadPoller } from "./load_poller.ts";

/** What the host works with. */
export interface SchedulerHostOptions {
  self: VmId;
  zone: ZoneId;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: PoolSchedulerSettings;
  suspects: SuspectRegistry;
  observer: PoolObserver;
  poller: LoadPoller;
  findConfiguration: () => FleetConfiguration | undefined;
  /** Finds how a VM is reached. */
  findContact: (vm: VmId) => VmContact | undefined;
  /** The VMs that a pool's scheduler works with at the moment. */
  findPeers: (pool: PoolId) => PoolPeers;
  /** The newest term that this VM knows of a pool. */
  findTerm: (pool: PoolId) => Term | undefined;
}

/** How long the state of a pool is kept for a scheduler to come. */
const HANDOVER_MILLISECONDS = 10_000;

/** How long a scheduler that was replaced passes messages on. */
const RETIRE_MILLISECONDS = 5_000;

interface KeptHandover {
  from: VmId;
  message: HandoverMessage;
  receivedAt: number;
}

interface HostedScheduler {
  pool: PoolId;
  scheduler: PoolScheduler;
  lifetime: ChildAbort;
}

/** Starts, feeds and ends the schedulers of pools. */
export class SchedulerHost {
  readonly #options: SchedulerHostOptions;
  readonly #hosted = new Map<string, HostedScheduler>();
  /** What former schedulers passed on before the pool was taken here. */
  readonly #handovers = new Map<string, KeptHandover>();

  constructor(options: SchedulerHostOptions) {
    this.#options = options;
  }

  /** Starts the scheduler of a pool for a new term; replaces an older one. */
  start(
    pool: PoolId,
    options: { term: Term; leased: boolean },
    signal: AbortSignal,
  ): void {
    this.stop(pool);
    const { findConfiguration, findPeers, poller } = this.#options;
    const scheduler = new PoolScheduler({
      pool,
      ...options,
      self: this.#options.self,
      sender: this.#options.sender,
      clock: this.#options.clock,
      random: this.#options.random,
      logger: this.#options.logger,
      settings: this.#options.settings,
      findContact: this.#options.findContact,
      suspects: this.#options.suspects,
      observer: this.#options.observer,
    });
    const lifetime = new ChildAbort(signal);
    this.#hosted.set(formatPool(pool), { pool, scheduler, lifetime });
    const configuration = findConfiguration();
    if (configuration !== undefined) {
      scheduler.updateConfiguration(configuration);
    }
    scheduler.updatePeers(findPeers(pool));
    this.#applyHandover(pool, scheduler);
    scheduler.run(lifetime.signal).catch((thrown) => {
      this.#options.logger.error("a pool's scheduler failed", {
        pool: formatPool(pool),
        reason: describeError(thrown),
      });
      this.stop(pool);
    });
    void poller.run(pool, { scheduler, findConfiguration }, lifetime.signal);
  }

  /** Goes on with a pool under another term, or with or without its lease. */
  updateTerm(pool: PoolId, options: { term: Term; leased: boolean }): void {
    const hosted = this.#hosted.get(formatPool(pool));
    hosted?.scheduler.updateTerm(options.term, options);
  }

  /**
   * Ends the scheduler of a pool that another VM has taken. Until then it
   * passes late messages on.
   */
  async retire(pool: PoolId, signal: AbortSignal): Promise<void> {
    const key = formatPool(pool);
    const retiring = this.#hosted.get(key);
    if (retiring === undefined) {
      return;
    }
    await this.#options.clock.sleep(RETIRE_MILLISECONDS, signal);
    if (this.#hosted.get(key) === retiring) {
      this.stop(pool);
    }
  }

  /** Ends the scheduler of a pool, if this VM runs it. */
  stop(pool: PoolId): void {
    const key = formatPool(pool);
    this.#hosted.get(key)?.lifetime.abort();
    this.#hosted.delete(key);
  }

  /** Passes a pool on to its next scheduler. */
  handOver(pool: PoolId, to: VmId): void {
    this.#hosted.get(formatPool(pool))?.scheduler.handOver(to);
  }

  /** Passes a message to the scheduler that it is meant for. */
  handle(from: VmId, message: SchedulerMessage): void {
    const pool = this.#findAddressee(message);
    const hosted = this.#hosted.get(formatPool(pool));
    if (hosted !== undefined) {
      hosted.scheduler.handle(from, message);
      return;
    }
    if (message.kind === MessageKind.Handover) {
      const receivedAt = this.#options.clock.now();
      this.#handovers.set(formatPool(pool), { from, message, receivedAt });
    }
    if (message.kind === MessageKind.Enqueue) {
      this.#answerNotScheduler(from, { pool, request: message.entry.request });
    }
  }

  /** Tells all schedulers of a new configuration. */
  updateConfiguration(configuration: FleetConfiguration): void {
    for (const { scheduler } of this.#hosted.values()) {
      scheduler.updateConfiguration(configuration);
    }
  }

  /** Tells all schedulers who they work with now. */
  updatePeers(): void {
    for (const { pool, scheduler } of this.#hosted.values()) {
      scheduler.updatePeers(this.#options.findPeers(pool));
    }
  }

  /** Has all schedulers find out what a VM that may have restarted still has. */
  checkIngress(vm: VmId): void {
    for (const { scheduler } of this.#hosted.values()) {
      scheduler.checkIngress(vm);
    }
  }

  /** Describes all pools that this VM schedules. */
  describeStatus(): PoolStatus[] {
    return [...this.#hosted.values()].map(({ scheduler }) =>
      scheduler.describeStatus()
    );
  }

  #applyHandover(pool: PoolId, scheduler: PoolScheduler): void {
    const key = formatPool(pool);
    const kept = this.#handovers.get(key);
    this.#handovers.delete(key);
    if (kept === undefined) {
      return;
    }
    const age = this.#options.clock.now() - kept.receivedAt;
    if (age <= HANDOVER_MILLISECONDS) {
      scheduler.handle(kept.from, kept.message);
    }
  }

  #findAddressee(message: SchedulerMessage): PoolId {
    switch (message.kind) {
      case MessageKind.CounterDelta:
        return { zone: this.#options.zone, service: message.service };
      case MessageKind.Offer:
        return { zone: this.#options.zone, service: message.pool.service };
      case MessageKind.MoveEntries:
        return message.to;
      case MessageKind.EntriesTaken:
        return message.from;
      default:
        return message.pool;
    }
  }

  #answerNotScheduler(
    to: VmId,
    options: { pool: PoolId; request: string },
  ): void {
    const term = this.#options.findTerm(options.pool);
    this.#options.sender.send(to, {
      kind: MessageKind.NotScheduler,
      ...options,
      ...(term === undefined ? {} : { term }),
    });
  }
}
