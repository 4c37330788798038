/** Schedules one pool: which request is next, and on which endpoint it runs. */

import type { FleetConfiguration } from "@rattanvane/configuration";
import { EndpointEvent } from "@rattanvane/limits";
import type { LoadReport } from "@rattanvane/platform";
import {
  type EndpointId,
  type HandoverMessage,
  MessageKind,
  RefusalReason,
  type SchedulerMessage,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import { AttemptLifecycle } from "./attempt_lifecycle.ts";
import { CounterExchange } from "./counter_exchange.ts";
import { EntryIntake } from "./entry_intake.ts";
import { EntryMover } from "./entry_mover.ts";
import { Granter } from "./granter.ts";
import { type PoolSchedulerOptions, PoolState } from "./pool_state.ts";
import { PoolTicker } from "./pool_ticker.ts";
import { buildPoolStatus, type PoolStatus } from "./pool_status.ts";
import { Refuser } from "./refuser.ts";
import { type SiblingAddress, Siblings } from "./siblings.ts";
import { SuspectGuard } from "./suspect_guard.ts";
import { WorkReports } from "./work_reports.ts";

/** The VMs and schedulers that a pool's scheduler communicates with. */
export interface PoolPeers {
  /** The live VMs of the pool's zone. */
  ingresses: readonly VmId[];
  /** The schedulers of the same service in other zones. */
  siblings: readonly SiblingAddress[];
}

/** Messages that the next scheduler needs if they reach the previous one. */
const FORWARDED_KINDS: ReadonlySet<MessageKind> = new Set([
  MessageKind.Enqueue,
  MessageKind.CancelEntry,
  MessageKind.DeclineGrant,
  MessageKind.Progress,
  MessageKind.Finish,
]);

/** Owns a pool's queue and its endpoints' limits for one term. */
export class PoolScheduler {
  readonly #state: PoolState;
  readonly #siblings = new Siblings();
  readonly #suspectGuard: SuspectGuard;
  readonly #refuser: Refuser;
  readonly #lifecycle: AttemptLifecycle;
  readonly #granter: Granter;
  readonly #reports: WorkReports;
  readonly #exchange: CounterExchange;
  readonly #mover: EntryMover;
  readonly #intake: EntryIntake;
  readonly #ticker: PoolTicker;
  /** The VM the pool was handed over to; undefined while this one schedules. */
  #successor: VmId | undefined;

  constructor(options: PoolSchedulerOptions) {
    const state = new PoolState(options);
    this.#state = state;
    this.#suspectGuard = new SuspectGuard(state);
    this.#refuser = new Refuser(state);
    this.#lifecycle = new AttemptLifecycle(state, this.#refuser);
    this.#granter = new Granter(state, {
      refuser: this.#refuser,
      guard: this.#suspectGuard,
    });
    this.#reports = new WorkReports(state, this.#lifecycle);
    this.#exchange = new CounterExchange(state, this.#siblings);
    this.#mover = new EntryMover(state, {
      siblings: this.#siblings,
      guard: this.#suspectGuard,
      ends: this.#lifecycle,
    });
    this.#intake = new EntryIntake(state, {
      guard: this.#suspectGuard,
      refuser: this.#refuser,
      lifecycle: this.#lifecycle,
      mover: this.#mover,
      siblings: this.#siblings,
    });
    this.#ticker = new PoolTicker({
      clock: options.clock,
      tickMilliseconds: options.settings.tickMilliseconds,
      findIdleMilliseconds: () => this.#findIdleMilliseconds(),
    });
  }

  /**
   * Rebuilds the pool's state, then processes timeouts and exchanges counters
   * until aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    await this.#ticker.run(() => this.#runStep(), signal);
  }

  /** Handles one message, then makes the grants that it allows. */
  handle(from: VmId, message: SchedulerMessage): void {
    if (this.#successor !== undefined) {
      this.#forward(message);
      return;
    }
    this.#apply(from, message);
    this.#grantAndOffer();
  }

  /** Continues under a newer term, or after its lease was gained or lost. */
  updateTerm(term: Term, options: { leased: boolean }): void {
    this.#state.updateTerm(term, options);
    this.#grantAndOffer();
  }

  /** Applies changed endpoints, drains, weights and queue limits. */
  updateConfiguration(configuration: FleetConfiguration): void {
    this.#state.configuration = configuration;
    this.#state.endpoints.updateConfiguration(configuration);
    this.#grantAndOffer();
  }

  /**
   * Applies changes to the zone's live VMs and to the sibling schedulers.
   * Entries of removed VMs are dropped and their attempts orphaned.
   */
  updatePeers(peers: PoolPeers): void {
    const former = this.#state.ingresses;
    const live = new Set(peers.ingresses);
    this.#state.ingresses = live;
    for (const vm of former) {
      if (!live.has(vm)) {
        this.#removeIngress(vm);
      }
    }
    this.#reports.updateIngresses(peers.ingresses, former);
    this.#siblings.update(peers.siblings);
    this.#grantAndOffer();
  }

  /** Requests a work report from an ingress that may have restarted. */
  checkIngress(vm: VmId): void {
    this.#reports.checkIngress(vm);
  }

  /** Applies an endpoint's load report, which lags behind its actual load. */
  receiveLoad(endpoint: EndpointId, report: LoadReport): void {
    const known = this.#state.endpoints.find(endpoint);
    if (known === undefined) {
      return;
    }
    const change = known.limit.receiveReport(report);
    const isCurrent = known.limit.bootId === report.bootId;
    if (change === EndpointEvent.None && isCurrent) {
      const sampledAt = this.#state.now - report.ageMilliseconds;
      const startedAt = sampledAt - report.uptimeMilliseconds;
      this.#state.evidence.recordReport(endpoint, { sampledAt, startedAt });
    }
    this.#lifecycle.applyEndpointEvent(endpoint, change);
    this.#lifecycle.requeueUnreported(endpoint, known.limit.absent);
    this.#grantAndOffer();
  }

  /** Records that an endpoint's load could not be read. */
  markEndpointUnreachable(endpoint: EndpointId): void {
    const known = this.#state.endpoints.find(endpoint);
    if (known !== undefined) {
      this.#lifecycle.applyEndpointEvent(
        endpoint,
        known.limit.markUnreachable(),
      );
      this.#grantAndOffer();
    }
  }

  /**
   * Sends counters, limits and running attempts to the next scheduler and stops
   * granting.
   */
  handOver(to: VmId): void {
    const { sender, pool, term, logger } = this.#state.options;
    const { fair } = this.#state.queue;
    this.#successor = to;
    sender.send(to, {
      kind: MessageKind.Handover,
      pool,
      term,
      virtualTime: fair.virtualTime,
      counters: fair.listCounters(),
      limits: this.#reports.isRebuilding
        ? []
        : this.#state.endpoints.listLimits(),
      running: this.#state.attempts.listForHandover(),
    });
    logger.info("handed over pool", {
      service: pool.service,
      zone: pool.zone,
      to,
    });
  }

  /** Returns the pool's status for operators. */
  describeStatus(): PoolStatus {
    return buildPoolStatus(this.#state, {
      rebuilding: this.#reports.isRebuilding,
      moving: this.#mover.moving,
    });
  }

  #runStep(): void {
    if (this.#successor !== undefined) {
      return;
    }
    this.#reports.runStep();
    this.#refuseExpired();
    this.#lifecycle.orphanTimedOut();
    this.#state.endpoints.removeExpired();
    this.#state.evidence.removeExpired(this.#state.now);
    this.#mover.requeueExpired();
    this.#mover.rebalance();
    this.#exchange.runStep();
    this.#grantAndOffer();
  }

  #grantAndOffer(): void {
    if (this.#successor !== undefined) {
      return;
    }
    this.#granter.grantAll();
    this.#mover.fillOffers();
    this.#mover.offerFreeSlots();
    this.#exchange.sendOnBacklog();
    this.#ticker.wakeIfBusy();
  }

  /**
   * Returns how many milliseconds the periodic work can pause, or undefined
   * while the pool has pending work.
   */
  #findIdleMilliseconds(): number | undefined {
    const hasWork = this.#reports.isRebuilding || this.#state.hasWork() ||
      this.#mover.moving > 0;
    if (hasWork || this.#siblings.hasWaiting()) {
      return undefined;
    }
    return this.#exchange.findIdleTime();
  }

  #apply(from: VmId, message: SchedulerMessage): void {
    switch (message.kind) {
      case MessageKind.Enqueue:
        return this.#intake.applyEnqueue(message);
      case MessageKind.CancelEntry:
        return this.#intake.applyCancel(message.request);
      case MessageKind.DeclineGrant:
        return this.#intake.applyDecline(message);
      case MessageKind.Progress:
        return this.#lifecycle.applyProgress(message);
      case MessageKind.Finish:
        return this.#lifecycle.applyFinish(message);
      case MessageKind.WorkReport:
        return this.#reports.merge(from, message);
      case MessageKind.Handover:
        return this.#applyHandover(message);
      case MessageKind.CounterDelta:
        return this.#exchange.merge(from, message);
      case MessageKind.Offer:
        return this.#mover.applyOffer(from, message);
      case MessageKind.MoveEntries:
        return this.#mover.applyMove(from, message);
      case MessageKind.EntriesTaken:
        return this.#mover.applyTaken(from, message);
    }
  }

  #applyHandover(message: HandoverMessage): void {
    const { fair } = this.#state.queue;
    this.#state.wasHandedOver = true;
    fair.shiftCounters(Math.max(0, message.virtualTime - fair.virtualTime));
    for (const { organisation, virtual } of message.counters) {
      fair.restoreCounter(organisation, virtual);
    }
    for (const running of message.running) {
      this.#reports.adopt(running.ingress, running);
    }
    this.#state.endpoints.restore(message.limits);
  }

  #removeIngress(vm: VmId): void {
    for (const waiting of this.#state.queue.listByIngress(vm)) {
      this.#state.queue.remove(waiting.request);
    }
    this.#lifecycle.orphanIngress(vm);
  }

  #refuseExpired(): void {
    for (const waiting of this.#state.queue.removeExpired(this.#state.now)) {
      this.#refuser.refuse(waiting.entry, RefusalReason.WaitedTooLong);
    }
  }

  /** Forwards messages that were in flight when the pool was handed over. */
  #forward(message: SchedulerMessage): void {
    if (this.#successor !== undefined && FORWARDED_KINDS.has(message.kind)) {
      this.#state.options.sender.send(this.#successor, message);
    }
  }
}
