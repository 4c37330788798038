/** Exchanges service totals with the schedulers of other zones. */

import { RemoteTotals } from "@rattanvane/fairness";
import {
  type CounterDeltaMessage,
  formatPool,
  MessageKind,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import type { PoolState } from "./pool_state.ts";
import type { Sibling, Siblings } from "./siblings.ts";

/** Longer than regions lose each other, so that a rejoin finds its totals. */
const REMEMBERED_MILLISECONDS = 4 * 3_600_000;

/** Sends the organisations that changed, and takes in those of others. */
export class CounterExchange {
  readonly #state: PoolState;
  readonly #siblings: Siblings;
  readonly #remote = new RemoteTotals();
  /** The term of the start: totals go on when the term is raised. */
  readonly #term: Term;
  #sequence = 0;
  #sentAt = -Infinity;
  #sentWaiting = 0;
  #isAligned = false;

  constructor(state: PoolState, siblings: Siblings) {
    this.#state = state;
    this.#siblings = siblings;
    this.#term = state.options.term;
  }

  /** Sends what changed, once a period has passed. */
  runStep(): void {
    const { counterPeriodMilliseconds } = this.#state.options.settings;
    if (this.#state.now - this.#sentAt >= counterPeriodMilliseconds) {
      this.#remote.removeSilent(this.#state.now - REMEMBERED_MILLISECONDS);
      this.#send();
    }
  }

  /** Tells siblings at once that work has begun to wait here. */
  sendOnBacklog(): void {
    const { offerIntervalMilliseconds } = this.#state.options.settings;
    const isNews = this.#state.queue.size > 0 && this.#sentWaiting === 0;
    const age = this.#state.now - this.#sentAt;
    if (isNews && age >= offerIntervalMilliseconds) {
      this.#send();
    }
  }

  /** Takes in a sibling's totals. */
  merge(from: VmId, message: CounterDeltaMessage): void {
    const { now, queue, options } = this.#state;
    const { heardBefore, sibling } = this.#siblings.recordCounters(from, {
      message,
      now,
    });
    const differences = this.#remote.merge({
      sender: `${formatPool(message.pool)}@${from}`,
      term: message.term,
      sequence: message.sequence,
      totals: message.totals,
    }, now);
    const silence = now - (heardBefore ?? -Infinity);
    const wasCut = silence > options.settings.siblingTimeoutMilliseconds;
    queue.fair.applyRemote(differences, { capDebt: wasCut });
    this.#align(sibling, wasCut);
    this.#alignByCommon(message);
  }

  /**
   * Makes virtual times comparable: a scheduler that starts takes over a
   * sibling's, and after a cut the one behind comes within the cap of debt.
   */
  #align(sibling: Sibling, wasCut: boolean): void {
    const { fair } = this.#state.queue;
    const lag = sibling.virtualTime - fair.virtualTime;
    const tolerated = this.#isAligned
      ? this.#state.options.settings.fairness.debtCap
      : 0;
    if ((wasCut || !this.#isAligned) && lag > tolerated) {
      fair.shiftCounters(lag - tolerated);
    }
    this.#isAligned = true;
    fair.raiseVirtualTime(sibling.virtualTime);
  }

  /**
   * An organisation that waits at both pools has received the same; where its
   * counters differ, as after its debt was capped, the bases do.
   */
  #alignByCommon({ lowest, virtualTime }: CounterDeltaMessage): void {
    const { fair } = this.#state.queue;
    if (lowest === undefined || fair.countWaiting(lowest) === 0) {
      return;
    }
    const lag = virtualTime - fair.findVirtual(lowest);
    if (lag > this.#state.options.settings.rebalanceThreshold) {
      fair.shiftCounters(lag);
    }
  }

  #send(): void {
    const { queue, endpoints, options, now } = this.#state;
    const siblings = this.#siblings.list();
    if (siblings.length === 0) {
      return;
    }
    const slots = endpoints.sumSlots();
    const totals = queue.fair.collectChangedTotals();
    this.#sentAt = now;
    this.#sequence++;
    this.#sentWaiting = queue.size;
    const message: CounterDeltaMessage = {
      kind: MessageKind.CounterDelta,
      service: options.pool.service,
      pool: options.pool,
      term: this.#term,
      sequence: this.#sequence,
      totals,
      virtualTime: queue.fair.virtualTime,
      ...(queue.fair.lowest === undefined ? {} : { lowest: queue.fair.lowest }),
      waiting: queue.size,
      slots,
    };
    for (const sibling of siblings) {
      options.sender.send(sibling.vm, message);
    }
  }
}
