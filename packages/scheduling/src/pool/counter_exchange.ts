/** Exchanges totals of received service with schedulers of other zones. */

import { RemoteTotals } from "@rattanvane/fairness";
import {
  type CounterDeltaMessage,
  encodeMessage,
  formatPool,
  MessageKind,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import {
  computeHeartbeatPeriod,
  CounterSendSchedule,
} from "./counter_send_schedule.ts";
import type { PoolState } from "./pool_state.ts";
import type { Sibling, Siblings } from "./siblings.ts";

/**
 * How long the totals of a silent sibling are kept: longer than regions stay
 * partitioned, so that its totals are still known when it rejoins.
 */
const TOTALS_RETENTION_MILLISECONDS = 4 * 3_600_000;

/** Sends totals of changed organisations to siblings and merges theirs. */
export class CounterExchange {
  readonly #state: PoolState;
  readonly #siblings: Siblings;
  readonly #remoteTotals = new RemoteTotals();
  /** The term at the start; a raised term continues the same totals. */
  readonly #term: Term;
  #sequence = 0;
  readonly #schedule = new CounterSendSchedule();
  #sentWaiting = 0;
  #sentSlots = 0;
  #sentSiblingsVersion = 0;
  #isAligned = false;

  constructor(state: PoolState, siblings: Siblings) {
    this.#state = state;
    this.#siblings = siblings;
    this.#term = state.options.term;
  }

  /** Whether there are changes that were not sent to the siblings yet. */
  get hasUnsentChanges(): boolean {
    const { queue, endpoints } = this.#state;
    const isBacklogged = queue.size > 0;
    const hasSlots = endpoints.sumSlots() > 0;
    return queue.fair.changedOrganisationCount > 0 ||
      isBacklogged !== this.#sentWaiting > 0 ||
      hasSlots !== this.#sentSlots > 0 ||
      this.#siblings.version !== this.#sentSiblingsVersion;
  }

  /**
   * Returns for how many milliseconds nothing has to be sent; undefined while
   * there are unsent changes.
   */
  findIdleTime(): number | undefined {
    const { now, options } = this.#state;
    if (this.#siblings.size === 0) {
      return computeHeartbeatPeriod(options.settings);
    }
    return this.hasUnsentChanges
      ? undefined
      : this.#schedule.computeTimeToHeartbeat(now, options.settings);
  }

  /** Sends changes as the byte budget allows, and heartbeats in between. */
  runStep(): void {
    const { now, options } = this.#state;
    const isDue = this.#schedule.isDue(now, options.settings) &&
      this.hasUnsentChanges;
    if (
      isDue || this.#schedule.computeTimeToHeartbeat(now, options.settings) <= 0
    ) {
      this.#remoteTotals.removeSilent(now - TOTALS_RETENTION_MILLISECONDS);
      this.#send();
    }
  }

  /** Notifies siblings immediately when requests begin to wait here. */
  sendOnBacklog(): void {
    const { now, queue, options } = this.#state;
    const { offerIntervalMilliseconds } = options.settings;
    const isNewBacklog = queue.size > 0 && this.#sentWaiting === 0;
    if (
      isNewBacklog &&
      this.#schedule.computeTimeSinceSent(now) >= offerIntervalMilliseconds
    ) {
      this.#send();
    }
  }

  /** Merges the totals of a sibling into the local counters. */
  merge(from: VmId, message: CounterDeltaMessage): void {
    const { now, queue, options } = this.#state;
    const { heardBefore, sibling } = this.#siblings.recordCounters(from, {
      message,
      now,
    });
    const differences = this.#remoteTotals.merge({
      sender: `${formatPool(message.pool)}@${from}`,
      term: message.term,
      sequence: message.sequence,
      totals: message.totals,
    }, now);
    const elapsed = now - (heardBefore ?? -Infinity);
    const wasCutOff = elapsed > options.settings.siblingTimeoutMilliseconds;
    sibling.isRejoining ||= wasCutOff;
    const { isRejoining } = sibling;
    queue.fair.applyRemoteService(differences, { capDebt: isRejoining });
    const isComplete = message.unsent === undefined;
    this.#alignVirtualTime(sibling, isRejoining && isComplete);
    sibling.isRejoining = isRejoining && !isComplete;
    this.#alignByLowestCounter(message);
  }

  /**
   * Makes virtual times comparable. A scheduler that starts adopts a sibling's
   * virtual time; after a partition, the scheduler that is behind advances to
   * within the debt cap of the other.
   */
  #alignVirtualTime(sibling: Sibling, hasRejoined: boolean): void {
    const { fair } = this.#state.queue;
    const lag = sibling.virtualTime - fair.virtualTime;
    const allowedLag = this.#isAligned
      ? this.#state.options.settings.fairness.debtCap
      : 0;
    if ((hasRejoined || !this.#isAligned) && lag > allowedLag) {
      fair.shiftCounters(lag - allowedLag);
    }
    this.#isAligned = true;
    fair.raiseVirtualTime(sibling.virtualTime);
  }

  /**
   * Corrects an offset between the counters of two pools. An organisation that
   * waits at both pools has received the same service according to both; if its
   * counters still differ, for example after its debt was capped, then the base
   * values of the pools differ.
   */
  #alignByLowestCounter({ lowest, virtualTime }: CounterDeltaMessage): void {
    const { fair } = this.#state.queue;
    if (lowest === undefined || fair.countWaiting(lowest) === 0) {
      return;
    }
    const lag = virtualTime - fair.findCounter(lowest);
    if (lag > this.#state.options.settings.rebalanceThreshold) {
      fair.shiftCounters(lag);
    }
  }

  /** Sends the totals if the budget allows it, otherwise only a heartbeat. */
  #send(): void {
    const { queue, endpoints, now } = this.#state;
    const siblings = this.#siblings.list();
    if (siblings.length === 0) {
      return;
    }
    this.#sequence++;
    this.#sentWaiting = queue.size;
    this.#sentSlots = endpoints.sumSlots();
    this.#sentSiblingsVersion = this.#siblings.version;
    const message = this.#createMessage();
    const bytes = encodeMessage(message).length;
    this.#schedule.recordSent(now, { bytes, copies: siblings.length });
    for (const sibling of siblings) {
      this.#state.options.sender.send(sibling.vm, message);
    }
  }

  #createMessage(): CounterDeltaMessage {
    const { options, queue, now } = this.#state;
    const { fair } = queue;
    const totals = this.#schedule.isWithinBudget(now)
      ? fair.collectChangedTotals()
      : [];
    const unsent = fair.changedOrganisationCount;
    const { leastServedOrganisation } = fair;
    // A counter is only comparable with a sibling's once all totals were sent.
    const isComparable = unsent === 0 && leastServedOrganisation !== undefined;
    return {
      kind: MessageKind.CounterDelta,
      service: options.pool.service,
      pool: options.pool,
      term: this.#term,
      sequence: this.#sequence,
      totals,
      ...(unsent === 0 ? {} : { unsent }),
      virtualTime: fair.virtualTime,
      ...(isComparable ? { lowest: leastServedOrganisation } : {}),
      waiting: this.#sentWaiting,
      slots: this.#sentSlots,
    };
  }
}
