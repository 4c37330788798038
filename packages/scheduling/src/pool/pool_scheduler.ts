/** The scheduler of one pool: who is next, and at which endpoint. */

import type { FleetConfiguration } from "@rattanvane/configuration";
import { EndpointNews } from "@rattanvane/limits";
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
import { AttemptEnds } from "./attempt_ends.ts";
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

/** Who a pool's scheduler works with. */
export interface PoolPeers {
  /** The live VMs of the pool's zone. */
  ingresses: readonly VmId[];
  /** The schedulers of the same service in other zones. */
  siblings: readonly SiblingAddress[];
}

/** What the next scheduler needs when it arrives at the former one. */
const FORWARDED: ReadonlySet<MessageKind> = new Set([
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
  readonly #guard: SuspectGuard;
  readonly #refuser: Refuser;
  readonly #ends: AttemptEnds;
  readonly #granter: Granter;
  readonly #reports: WorkReports;
  readonly #exchange: CounterExchange;
  readonly #mover: EntryMover;
  readonly #intake: EntryIntake;
  readonly #ticker: PoolTicker;
  /** Who has the pool after this scheduler; undefined while it grants. */
  #successor: VmId | undefined;

  constructor(options: PoolSchedulerOptions) {
    const state = new PoolState(options);
    this.#state = state;
    this.#guard = new SuspectGuard(state);
    this.#refuser = new Refuser(state);
    this.#ends = new AttemptEnds(state, this.#refuser);
    this.#granter = new Granter(state, {
      refuser: this.#refuser,
      guard: this.#guard,
    });
    this.#reports = new WorkReports(state, this.#ends);
    this.#exchange = new CounterExchange(state, this.#siblings);
    this.#mover = new EntryMover(state, {
      siblings: this.#siblings,
      guard: this.#guard,
      ends: this.#ends,
    });
    this.#intake = new EntryIntake(state, {
      guard: this.#guard,
      refuser: this.#refuser,
      ends: this.#ends,
      mover: this.#mover,
      siblings: this.#siblings,
    });
    this.#ticker = new PoolTicker({
      clock: options.clock,
      tickMilliseconds: options.settings.tickMilliseconds,
      findIdleTime: () => this.#findIdleTime(),
    });
  }

  /** Rebuilds the state, then runs timeouts and exchanges until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#ticker.run(() => this.#runStep(), signal);
  }

  /** Applies one message and grants what it made possible. */
  handle(from: VmId, message: SchedulerMessage): void {
    if (this.#successor !== undefined) {
      this.#forward(message);
      return;
    }
    this.#apply(from, message);
    this.#grantAndOffer();
  }

  /** Goes on under a raised term, or with or without its lease. */
  updateTerm(term: Term, options: { leased: boolean }): void {
    this.#state.updateTerm(term, options);
    this.#grantAndOffer();
  }

  /** Takes in endpoints, drains, weights and queue limits. */
  updateConfiguration(configuration: FleetConfiguration): void {
    this.#state.configuration = configuration;
    this.#state.endpoints.updateConfiguration(configuration);
    this.#grantAndOffer();
  }

  /** Takes in the live VMs of the zone and the siblings. */
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

  /** Finds out what an ingress still has that may have restarted. */
  checkIngress(vm: VmId): void {
    this.#reports.checkIngress(vm);
  }

  /** Takes in an endpoint's lagging load report. */
  receiveLoad(endpoint: EndpointId, report: LoadReport): void {
    const known = this.#state.endpoints.find(endpoint);
    if (known === undefined) {
      return;
    }
    const news = known.limit.receiveReport(report);
    const isCurrent = known.limit.bootId === report.bootId;
    if (news === EndpointNews.Nothing && isCurrent) {
      const sampledAt = this.#state.now - report.ageMilliseconds;
      const startedAt = sampledAt - report.uptimeMilliseconds;
      this.#state.evidence.recordReport(endpoint, { sampledAt, startedAt });
    }
    this.#ends.applyNews(endpoint, news);
    this.#ends.settleAbsent(endpoint, known.limit.absent);
    this.#grantAndOffer();
  }

  /** Takes in that an endpoint could not be asked for its load. */
  markEndpointUnreachable(endpoint: EndpointId): void {
    const known = this.#state.endpoints.find(endpoint);
    if (known !== undefined) {
      this.#ends.applyNews(endpoint, known.limit.markUnreachable());
      this.#grantAndOffer();
    }
  }

  /** Passes what was learned to the next scheduler and grants no more. */
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
      running: this.#state.attempts.listHanded(),
    });
    logger.info("handed the pool over", {
      service: pool.service,
      zone: pool.zone,
      to,
    });
  }

  /** The pool as operators should see it. */
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
    this.#ends.orphanSilent();
    this.#state.endpoints.removeExpired();
    this.#state.evidence.removeExpired(this.#state.now);
    this.#mover.takeBackExpired();
    this.#mover.rebalance();
    this.#exchange.runStep();
    this.#grantAndOffer();
  }

  #grantAndOffer(): void {
    if (this.#successor !== undefined) {
      return;
    }
    this.#granter.grantAll();
    this.#mover.useOffers();
    this.#mover.offerFreeSlots();
    this.#exchange.sendOnBacklog();
    this.#ticker.update();
  }

  /** How long timeouts and exchanges can rest; undefined while they cannot. */
  #findIdleTime(): number | undefined {
    const hasWork = this.#reports.isRebuilding || this.#state.hasWork() ||
      this.#mover.moving > 0;
    if (hasWork || this.#siblings.hasWaiting()) {
      return undefined;
    }
    return this.#exchange.findRest();
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
        return this.#ends.applyProgress(message);
      case MessageKind.Finish:
        return this.#ends.applyFinish(message);
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
    for (const waiting of this.#state.queue.listOfIngress(vm)) {
      this.#state.queue.remove(waiting.request);
    }
    this.#ends.orphanIngress(vm);
  }

  #refuseExpired(): void {
    for (const waiting of this.#state.queue.removeExpired(this.#state.now)) {
      this.#refuser.refuse(waiting.entry, RefusalReason.WaitedTooLong);
    }
  }

  /** Passes on what was on its way here when the pool was handed over. */
  #forward(message: SchedulerMessage): void {
    if (this.#successor !== undefined && FORWARDED.has(message.kind)) {
      this.#state.options.sender.send(this.#successor, message);
    }
  }
}
