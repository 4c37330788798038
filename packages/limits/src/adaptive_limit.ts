/** Finds how many requests an endpoint bears at once. */

import type { EndpointLimitSettings } from "./settings.ts";

/** The configured bounds of a limit. */
export interface LimitBounds {
  /** What the endpoint bears right after a start. */
  coldLimit: number;
  /** The most that it is ever sent. */
  ceiling: number;
}

/** Clean reports that are worth as much as a limit's worth of completions. */
const REPORTS_FOR_GROWTH = 3;

/** How fast the usual time to the first byte may rise, a completion. */
const BASELINE_RISE = 1.02;

/** The part of a limit's worth of slow answers that shows overload. */
const SLOW_SHARE = 0.25;

/** Doubles from the cold limit, then adds one a round, and backs off. */
export class LimitGrowth {
  readonly #settings: EndpointLimitSettings;
  #bounds: LimitBounds;
  #limit: number;
  /** Where doubling ends; undefined until the endpoint showed overload. */
  #threshold: number | undefined;
  #reportedSlots = 0;
  #changedAt: number;
  #raisedFrom: number | undefined;
  /** The most that ran at once under the present limit. */
  #peak = 0;
  #sane = 0;
  #slow = 0;
  #cleanReports = 0;
  #baseline = 0;

  constructor(
    settings: EndpointLimitSettings,
    options: LimitBounds & { now: number },
  ) {
    this.#settings = settings;
    this.#bounds = options;
    this.#limit = options.coldLimit;
    this.#changedAt = options.now;
  }

  get limit(): number {
    return Math.min(this.#limit, this.#ceiling);
  }

  get coldLimit(): number {
    return Math.min(this.#bounds.coldLimit, this.#bounds.ceiling);
  }

  get #ceiling(): number {
    const slots = this.#reportedSlots > 0 ? this.#reportedSlots : Infinity;
    return Math.min(this.#bounds.ceiling, slots);
  }

  updateBounds(bounds: LimitBounds): void {
    if (this.#limit === this.#bounds.coldLimit) {
      this.#limit = bounds.coldLimit;
    }
    this.#bounds = bounds;
  }

  /** Goes back to the cold limit after a restart. */
  reset(now: number): void {
    const age = now - this.#changedAt;
    if (
      this.#raisedFrom !== undefined &&
      age <= this.#settings.growthIntervalMilliseconds
    ) {
      // It fell over right after a raise: do not double past that point.
      this.#threshold = this.#raisedFrom;
    }
    this.#changeLimit(this.#bounds.coldLimit, now);
    this.#raisedFrom = undefined;
    this.#reportedSlots = 0;
    this.#baseline = 0;
  }

  /** Counts no time as evidence in which the endpoint had not started yet. */
  recordStart(startedAt: number): void {
    this.#changedAt = Math.max(this.#changedAt, startedAt);
  }

  /** Starts from a limit that a former scheduler found. */
  restore(limit: number, now: number): void {
    this.#raise(Math.max(this.#limit, limit), now);
  }

  /** Takes in how much runs; a limit that is hardly used proves nothing. */
  recordOutstanding(outstanding: number): void {
    this.#peak = Math.max(this.#peak, outstanding);
  }

  /** Takes in a completed answer. */
  recordCompletion(firstByteMilliseconds: number, now: number): void {
    const isInUse = this.#peak * 2 >= this.#limit;
    if (firstByteMilliseconds <= 0 || !isInUse) {
      return;
    }
    if (this.#isSlow(firstByteMilliseconds)) {
      this.recordSlow(now);
    } else {
      this.#sane++;
    }
    const risen = this.#baseline * BASELINE_RISE;
    this.#baseline = this.#baseline === 0
      ? firstByteMilliseconds
      : Math.min(risen, firstByteMilliseconds);
    this.#growOnEvidence(now);
  }

  /** Takes in a sign of overload that is weak by itself. */
  recordSlow(now: number): void {
    this.#slow++;
    if (this.#slow >= Math.max(2, this.#limit * SLOW_SHARE)) {
      this.recordOverload(now);
    }
  }

  /** Backs off; at most once in a growth interval. */
  recordOverload(now: number): void {
    const isRecent =
      now - this.#changedAt < this.#settings.growthIntervalMilliseconds;
    if (isRecent && this.#raisedFrom === undefined) {
      return;
    }
    const reduced = Math.floor(this.#limit * this.#settings.decreaseFactor);
    this.#threshold = Math.max(this.coldLimit, reduced);
    this.#changeLimit(this.#threshold, now);
    this.#raisedFrom = undefined;
  }

  /** Takes in what a report says the endpoint runs, and has waiting. */
  recordReport(
    report: { running: number; waiting: number; slots: number },
    now: number,
  ): void {
    this.#reportedSlots = report.slots;
    if (report.waiting > 0) {
      this.#cleanReports = 0;
      this.recordOverload(now);
      return;
    }
    if (report.running > this.#limit) {
      // It bears these already, so a new scheduler need not start cold.
      this.#raise(report.running, now);
    }
    if (report.running * 2 >= this.#limit) {
      this.#cleanReports++;
      this.#growOnEvidence(now);
    }
  }

  #isSlow(firstByteMilliseconds: number): boolean {
    const usual = this.#baseline * this.#settings.slowFactor;
    const slow = Math.max(usual, this.#settings.slowFirstByteMilliseconds);
    return firstByteMilliseconds > slow;
  }

  #growOnEvidence(now: number): void {
    const interval = this.#settings.growthIntervalMilliseconds;
    const age = now - this.#changedAt;
    const byAnswers = this.#sane >= this.#limit && age >= interval;
    const byReports = this.#cleanReports >= REPORTS_FOR_GROWTH &&
      age >= 2 * interval;
    if (!byAnswers && !byReports) {
      return;
    }
    const threshold = this.#threshold ?? Infinity;
    const next = this.#limit < threshold
      ? Math.min(this.#limit * 2, Math.max(threshold, this.#limit + 1))
      : this.#limit + 1;
    this.#raise(next, now);
  }

  #raise(limit: number, now: number): void {
    const raised = Math.min(limit, this.#ceiling);
    if (raised > this.#limit) {
      this.#raisedFrom = this.#limit;
      this.#changeLimit(raised, now);
    }
  }

  #changeLimit(limit: number, now: number): void {
    this.#limit = limit;
    this.#changedAt = now;
    this.#peak = 0;
    this.#sane = 0;
    this.#slow = 0;
    this.#cleanReports = 0;
  }
}
