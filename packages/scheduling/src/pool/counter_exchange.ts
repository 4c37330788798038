/** Exchanges service totals with the schedulers of other zones. */

import { RemoteTotals } from "@rattanvane/fairness";
import {
  type CounterDeltaMessage,
  encodeMessage,
  formatPool,
  MessageKind,
  type Term,
  type VmId,
} from "@rattanvane/protocol";
import { computeSignPeriod, CounterPace } from "./counter_pace.ts";
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
  readonly #pace = new CounterPace();
  #sentWaiting = 0;
  #sentSlots = 0;
  #sentVersion = 0;
  #isAligned = false;

  constructor(state: PoolState, siblings: Siblings) {
    this.#state = state;
    this.#siblings = siblings;
    this.#term = state.options.term;
  }

  /** Whether something changed that siblings were not told of. */
  get hasNews(): boolean {
    const { queue, endpoints } = this.#state;
    const isBacklogged = queue.size > 0;
    const isOpen = endpoints.sumSlots() > 0;
    return queue.fair.changedOrganisations > 0 ||
      isBacklogged !== this.#sentWaiting > 0 ||
      isOpen !== this.#sentSlots > 0 ||
      this.#siblings.version !== this.#sentVersion;
  }

  /** How long nothing has to be sent; undefined while there is news. */
  findRest(): number | undefined {
    const { now, options } = this.#state;
    if (this.#siblings.size === 0) {
      return computeSignPeriod(options.settings);
    }
    return this.hasNews
      ? undefined
      : this.#pace.computeRest(now, options.settings);
  }

  /** Sends what changed as the budget allows, and signs of life between. */
  runStep(): void {
    const { now, options } = this.#state;
    const isDue = this.#pace.isDue(now, options.settings) && this.hasNews;
    if (isDue || this.#pace.computeRest(now, options.settings) <= 0) {
      this.#remote.removeSilent(now - REMEMBERED_MILLISECONDS);
      this.#send();
    }
  }

  /** Tells siblings at once that work has begun to wait here. */
  sendOnBacklog(): void {
    const { now, queue, options } = this.#state;
    const { offerIntervalMilliseconds } = options.settings;
    const isNews = queue.size > 0 && this.#sentWaiting === 0;
    if (isNews && this.#pace.computeAge(now) >= offerIntervalMilliseconds) {
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
    sibling.isRejoining ||= wasCut;
    const { isRejoining } = sibling;
    queue.fair.applyRemote(differences, { capDebt: isRejoining });
    const isWhole = message.unsent === undefined;
    this.#align(sibling, isRejoining && isWhole);
    sibling.isRejoining = isRejoining && !isWhole;
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

  /** Sends with totals within the budget, otherwise a mere sign of life. */
  #send(): void {
    const { queue, endpoints, now } = this.#state;
    const siblings = this.#siblings.list();
    if (siblings.length === 0) {
      return;
    }
    this.#sequence++;
    this.#sentWaiting = queue.size;
    this.#sentSlots = endpoints.sumSlots();
    this.#sentVersion = this.#siblings.version;
    const message = this.#createMessage();
    const bytes = encodeMessage(message).length;
    this.#pace.recordSent(now, { bytes, copies: siblings.length });
    for (const sibling of siblings) {
      this.#state.options.sender.send(sibling.vm, message);
    }
  }

  #createMessage(): CounterDeltaMessage {
    const { options, queue, now } = this.#state;
    const { fair } = queue;
    const totals = this.#pace.isWithinBudget(now)
      ? fair.collectChangedTotals()
      : [];
    const unsent = fair.changedOrganisations;
    const { lowest } = fair;
    // Without its totals, a counter cannot be compared with a sibling's.
    const isComparable = unsent === 0 && lowest !== undefined;
    return {
      kind: MessageKind.CounterDelta,
      service: options.pool.service,
      pool: options.pool,
      term: this.#term,
      sequence: this.#sequence,
      totals,
      ...(unsent === 0 ? {} : { unsent }),
      virtualTime: fair.virtualTime,
      ...(isComparable ? { lowest } : {}),
      waiting: this.#sentWaiting,
      slots: this.#sentSlots,
    };
  }
}
