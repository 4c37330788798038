/** Determines how many requests an endpoint can run concurrently. */

import type { EndpointLimitSettings } from "./settings.ts";

/** The configured bounds of a limit. */
export interface LimitBounds {
  /** Number of concurrent requests that an endpoint can run after a start. */
  coldLimit: number;
  /** Maximum number of concurrent requests that an endpoint is ever sent. */
  ceiling: number;
}

/**
 * Number of reports without waiting requests that justify a raise, like as many
 * completed answers as the limit.
 */
const CLEAN_REPORTS_FOR_GROWTH = 3;

/** Factor by which one completion may raise the baseline time to first byte. */
const BASELINE_RISE_FACTOR = 1.02;

/** Number of slow answers, relative to the limit, that indicates overload. */
const SLOW_ANSWER_RATIO = 0.25;

/**
 * A concurrency limit that is adapted as in TCP congestion control: it doubles
 * from the cold limit (slow start), then grows by one per round, and is reduced
 * by a factor on overload.
 */
export class AdaptiveLimit {
  readonly #settings: EndpointLimitSettings;
  #bounds: LimitBounds;
  #limit: number;
  /** Limit at which doubling ends; undefined until the first overload. */
  #slowStartThreshold: number | undefined;
  #reportedSlots = 0;
  #changedAt: number;
  #limitBeforeRaise: number | undefined;
  /** Maximum number of concurrent attempts under the current limit. */
  #peakOutstanding = 0;
  #normalAnswers = 0;
  #slowAnswers = 0;
  #cleanReports = 0;
  #baselineMilliseconds = 0;

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

  /** Applies new configured bounds. */
  updateBounds(bounds: LimitBounds): void {
    if (this.#limit === this.#bounds.coldLimit) {
      this.#limit = bounds.coldLimit;
    }
    this.#bounds = bounds;
  }

  /** Resets the limit to the cold limit after a restart. */
  reset(now: number): void {
    const age = now - this.#changedAt;
    if (
      this.#limitBeforeRaise !== undefined &&
      age <= this.#settings.growthIntervalMilliseconds
    ) {
      // The endpoint failed right after a raise: do not double past that limit.
      this.#slowStartThreshold = this.#limitBeforeRaise;
    }
    this.#changeLimit(this.#bounds.coldLimit, now);
    this.#limitBeforeRaise = undefined;
    this.#reportedSlots = 0;
    this.#baselineMilliseconds = 0;
  }

  /** Excludes the time before the endpoint's start from the growth interval. */
  recordStart(startedAt: number): void {
    this.#changedAt = Math.max(this.#changedAt, startedAt);
  }

  /** Raises the limit to one that the previous scheduler had reached. */
  restore(limit: number, now: number): void {
    this.#raise(Math.max(this.#limit, limit), now);
  }

  /**
   * Records the number of running attempts. A limit that is hardly used gives
   * no evidence for a raise.
   */
  recordOutstanding(outstanding: number): void {
    this.#peakOutstanding = Math.max(this.#peakOutstanding, outstanding);
  }

  /**
   * Records a completed answer; ignored unless at least half of the limit has
   * been in use.
   */
  recordCompletion(firstByteMilliseconds: number, now: number): void {
    const isInUse = this.#peakOutstanding * 2 >= this.#limit;
    if (firstByteMilliseconds <= 0 || !isInUse) {
      return;
    }
    if (this.#isSlow(firstByteMilliseconds)) {
      this.recordSlow(now);
    } else {
      this.#normalAnswers++;
    }
    const highestBaseline = this.#baselineMilliseconds * BASELINE_RISE_FACTOR;
    this.#baselineMilliseconds = this.#baselineMilliseconds === 0
      ? firstByteMilliseconds
      : Math.min(highestBaseline, firstByteMilliseconds);
    this.#raiseWhenDue(now);
  }

  /** Records a slow answer; only several of them indicate overload. */
  recordSlow(now: number): void {
    this.#slowAnswers++;
    if (this.#slowAnswers >= Math.max(2, this.#limit * SLOW_ANSWER_RATIO)) {
      this.recordOverload(now);
    }
  }

  /**
   * Reduces the limit, at most once per growth interval. A limit that was just
   * raised is reduced at once.
   */
  recordOverload(now: number): void {
    const isRecent =
      now - this.#changedAt < this.#settings.growthIntervalMilliseconds;
    if (isRecent && this.#limitBeforeRaise === undefined) {
      return;
    }
    const reduced = Math.floor(this.#limit * this.#settings.decreaseFactor);
    this.#slowStartThreshold = Math.max(this.coldLimit, reduced);
    this.#changeLimit(this.#slowStartThreshold, now);
    this.#limitBeforeRaise = undefined;
  }

  /** Records the running and waiting requests of a load report. */
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
      // The endpoint already runs these, so a new scheduler need not start cold.
      this.#raise(report.running, now);
    }
    if (report.running * 2 >= this.#limit) {
      this.#cleanReports++;
      this.#raiseWhenDue(now);
    }
  }

  #isSlow(firstByteMilliseconds: number): boolean {
    const relative = this.#baselineMilliseconds * this.#settings.slowFactor;
    const slow = Math.max(relative, this.#settings.slowFirstByteMilliseconds);
    return firstByteMilliseconds > slow;
  }

  #raiseWhenDue(now: number): void {
    const interval = this.#settings.growthIntervalMilliseconds;
    const age = now - this.#changedAt;
    const hasEnoughAnswers = this.#normalAnswers >= this.#limit &&
      age >= interval;
    const hasEnoughReports = this.#cleanReports >= CLEAN_REPORTS_FOR_GROWTH &&
      age >= 2 * interval;
    if (!hasEnoughAnswers && !hasEnoughReports) {
      return;
    }
    const threshold = this.#slowStartThreshold ?? Infinity;
    const next = this.#limit < threshold
      ? Math.min(this.#limit * 2, Math.max(threshold, this.#limit + 1))
      : this.#limit + 1;
    this.#raise(next, now);
  }

  #raise(limit: number, now: number): void {
    const raised = Math.min(limit, this.#ceiling);
    if (raised > this.#limit) {
      this.#limitBeforeRaise = this.#limit;
      this.#changeLimit(raised, now);
    }
  }

  #changeLimit(limit: number, now: number): void {
    this.#limit = limit;
    this.#changedAt = now;
    this.#peakOutstanding = 0;
    this.#normalAnswers = 0;
    this.#slowAnswers = 0;
    this.#cleanReports = 0;
  }
}
