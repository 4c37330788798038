/** Hosts the pool schedulers that run on this VM. */

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

/** Settings and dependencies of the host. */
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
  /** Finds the addresses of a VM. */
  findContact: (vm: VmId) => VmContact | undefined;
  /** Returns the current peers of a pool's scheduler. */
  findPeers: (pool: PoolId) => PoolPeers;
  /** Finds the latest known term of a pool. */
  findTerm: (pool: PoolId) => Term | undefined;
}

/** How long a handover is buffered for the next scheduler of its pool. */
const HANDOVER_RETENTION_MILLISECONDS = 10_000;

/** How long a replaced scheduler forwards messages before it is stopped. */
const RETIREMENT_DELAY_MILLISECONDS = 5_000;

interface BufferedHandover {
  from: VmId;
  message: HandoverMessage;
  receivedAt: number;
}

interface HostedScheduler {
  pool: PoolId;
  scheduler: PoolScheduler;
  lifetime: ChildAbort;
}

/** Starts and stops pool schedulers and delivers messages to them. */
export class SchedulerHost {
  readonly #options: SchedulerHostOptions;
  readonly #hosted = new Map<string, HostedScheduler>();
  /** Handovers that arrived before this VM acquired the pool. */
  readonly #handovers = new Map<string, BufferedHandover>();

  constructor(options: SchedulerHostOptions) {
    this.#options = options;
  }

  /** Starts a scheduler for a new term of a pool; replaces a running one. */
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

  /** Updates the term of a running scheduler and whether it holds the lease. */
  updateTerm(pool: PoolId, options: { term: Term; leased: boolean }): void {
    const hosted = this.#hosted.get(formatPool(pool));
    hosted?.scheduler.updateTerm(options.term, options);
  }

  /**
   * Stops the scheduler of a pool that another VM has acquired, after a delay
   * in which it forwards late messages.
   */
  async retire(pool: PoolId, signal: AbortSignal): Promise<void> {
    const key = formatPool(pool);
    const retiring = this.#hosted.get(key);
    if (retiring === undefined) {
      return;
    }
    await this.#options.clock.sleep(RETIREMENT_DELAY_MILLISECONDS, signal);
    if (this.#hosted.get(key) === retiring) {
      this.stop(pool);
    }
  }

  /** Stops the scheduler of a pool; does nothing when none is running. */
  stop(pool: PoolId): void {
    const key = formatPool(pool);
    this.#hosted.get(key)?.lifetime.abort();
    this.#hosted.delete(key);
  }

  /** Hands a pool over to its next scheduler. */
  handOver(pool: PoolId, to: VmId): void {
    this.#hosted.get(formatPool(pool))?.scheduler.handOver(to);
  }

  /**
   * Delivers a message to the scheduler of its pool. Without one, buffers a
   * handover, replies NotScheduler to an enqueue and drops the rest.
   */
  handle(from: VmId, message: SchedulerMessage): void {
    const pool = this.#findTargetPool(message);
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
      this.#sendNotScheduler(from, { pool, request: message.entry.request });
    }
  }

  /** Updates the configuration of all schedulers. */
  updateConfiguration(configuration: FleetConfiguration): void {
    for (const { scheduler } of this.#hosted.values()) {
      scheduler.updateConfiguration(configuration);
    }
  }

  /** Updates the peers of all schedulers. */
  updatePeers(): void {
    for (const { pool, scheduler } of this.#hosted.values()) {
      scheduler.updatePeers(this.#options.findPeers(pool));
    }
  }

  /**
   * Makes all schedulers check which requests a VM still has, after it may have
   * restarted.
   */
  checkIngress(vm: VmId): void {
    for (const { scheduler } of this.#hosted.values()) {
      scheduler.checkIngress(vm);
    }
  }

  /** Returns the status of all pools that this VM schedules. */
  describeStatus(): PoolStatus[] {
    return [...this.#hosted.values()].map(({ scheduler }) =>
      scheduler.describeStatus()
    );
  }

  #applyHandover(pool: PoolId, scheduler: PoolScheduler): void {
    const key = formatPool(pool);
    const buffered = this.#handovers.get(key);
    this.#handovers.delete(key);
    if (buffered === undefined) {
      return;
    }
    const age = this.#options.clock.now() - buffered.receivedAt;
    if (age <= HANDOVER_RETENTION_MILLISECONDS) {
      scheduler.handle(buffered.from, buffered.message);
    }
  }

  #findTargetPool(message: SchedulerMessage): PoolId {
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

  #sendNotScheduler(
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
