/** Counts the work at an endpoint; lagging reports only correct the counts. */

import type { AttemptId } from "@rattanvane/protocol";
import type { EndpointLimitSettings } from "./settings.ts";

/** A slot that is reused within this time counts as continuously used. */
const SLOT_REUSE_GAP_MILLISECONDS = 10;

/**
 * Number of consecutive reports without an attempt, or without a foreign
 * request, after which it counts as ended. A single report may have been taken
 * while a slot was empty between two attempts.
 */
const REPORTS_UNTIL_ABSENT = 3;

interface CountChange {
  at: number;
  /** Count from this time on. */
  count: number;
}

/** The work at an endpoint according to a load report. */
export interface WorkSample {
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  /** Number of running and waiting requests, whoever sent them. */
  requests: number;
}

/**
 * Counts this scheduler's own attempts, orphans (attempts whose ingress died)
 * and foreign requests (those that only reports show).
 *
 * A report lags, so it is compared with the counts around the time at which its
 * figures were taken. If this scheduler's own counts changed around that time,
 * the report allows several numbers of foreign requests, and the previous
 * number is kept as far as the report allows.
 */
export class OutstandingWork {
  readonly #settings: EndpointLimitSettings;
  readonly #attempts = new Map<AttemptId, number>();
  #ownHistory: CountChange[] = [];
  #orphans = 0;
  #orphanedAt = 0;
  #isForeignExact = false;
  #absentCounts: number[] = [];
  #foreignHistory: CountChange[] = [];

  constructor(settings: EndpointLimitSettings) {
    this.#settings = settings;
  }

  /** Number of attempts that this scheduler granted and that have not ended. */
  get own(): number {
    return this.#attempts.size;
  }

  /** Number of attempts whose ingress died while they were running. */
  get orphans(): number {
    return this.#orphans;
  }

  /** Finds when an attempt was granted; undefined when it is not counted. */
  findStart(attempt: AttemptId): number | undefined {
    return this.#attempts.get(attempt);
  }

  add(attempt: AttemptId, now: number): void {
    this.#attempts.set(attempt, now);
    this.#recordCount(now);
  }

  /** Stops counting an attempt; returns whether it was counted. */
  remove(attempt: AttemptId, now: number): boolean {
    const removed = this.#attempts.delete(attempt);
    if (removed) {
      this.#recordCount(now);
    }
    return removed;
  }

  /** Keeps counting an attempt whose end will never be reported. */
  orphan(attempt: AttemptId, now: number): void {
    if (this.remove(attempt, now)) {
      this.#orphans++;
      this.#orphanedAt = now;
    }
  }

  /** Counts foreign requests; figures that are too old count as 0. */
  countForeign(now: number): number {
    const since = now - this.#settings.reportFreshMilliseconds;
    const recent = this.#foreignHistory.slice(-REPORTS_UNTIL_ABSENT);
    return computePeak(recent.filter(({ at }) => at >= since));
  }

  /** Returns the highest number of foreign requests in any recent report. */
  countPeakForeign(now: number): number {
    const since = now - this.#settings.maximumReportLagMilliseconds;
    const recent = this.#foreignHistory.filter(({ at }) => at >= since);
    return Math.max(this.countForeign(now), computePeak(recent));
  }

  /** Whether the last report determined the foreign requests exactly. */
  get isForeignExact(): boolean {
    return this.#isForeignExact;
  }

  /** Number of counted attempts that the last reports did not show. */
  get absent(): number {
    const isKnown = this.#absentCounts.length === REPORTS_UNTIL_ABSENT;
    return isKnown ? Math.min(...this.#absentCounts) : 0;
  }

  /** Removes all orphans when none was added for the orphan time-out. */
  removeExpiredOrphans(now: number): void {
    const age = now - this.#orphanedAt;
    if (age >= this.#settings.orphanTimeoutMilliseconds) {
      this.#orphans = 0;
    }
  }

  /** Corrects orphans and foreign requests to what a report shows. */
  updateFromSample(sample: WorkSample, now: number): void {
    const slack = this.#settings.reportSlackMilliseconds;
    const ownCounts = this.#listCounts(
      sample.sampledAt - slack,
      sample.sampledAt + slack,
    );
    if (sample.sampledAt - slack > this.#orphanedAt) {
      const others = sample.requests - Math.min(...ownCounts);
      this.#orphans = Math.min(this.#orphans, Math.max(0, others));
    }
    this.#absentCounts.push(
      Math.max(0, Math.min(...ownCounts) - sample.requests),
    );
    this.#absentCounts.splice(
      0,
      this.#absentCounts.length - REPORTS_UNTIL_ABSENT,
    );
    const nonOrphans = sample.requests - this.#orphans;
    const leastForeign = Math.max(0, nonOrphans - Math.max(...ownCounts));
    const mostForeign = Math.max(0, nonOrphans - Math.min(...ownCounts));
    const keptForeign = Math.min(
      this.#foreignHistory.at(-1)?.count ?? 0,
      mostForeign,
    );
    const count = Math.max(leastForeign, keptForeign);
    this.#foreignHistory.push({ at: now, count });
    const since = now - this.#settings.reportFreshMilliseconds;
    this.#foreignHistory = this.#foreignHistory.filter(({ at }) => at >= since);
    this.#isForeignExact = leastForeign === mostForeign;
    this.#removeBefore(sample.sampledAt - 2 * slack);
  }

  #recordCount(now: number): void {
    const last = this.#ownHistory.at(-1);
    if (last !== undefined && now - last.at <= SLOT_REUSE_GAP_MILLISECONDS) {
      last.count = this.#attempts.size;
      return;
    }
    this.#ownHistory.push({ at: now, count: this.#attempts.size });
    this.#removeBefore(now - this.#settings.reportFreshMilliseconds);
  }

  /** Lists all counts that applied at any time of the period; never empty. */
  #listCounts(from: number, to: number): number[] {
    let before = 0;
    const counts: number[] = [];
    for (const change of this.#ownHistory) {
      if (change.at < from) {
        before = change.count;
      } else if (change.at <= to) {
        counts.push(change.count);
      }
    }
    return [before, ...counts];
  }

  #removeBefore(time: number): void {
    let keepFrom = 0;
    while ((this.#ownHistory[keepFrom + 1]?.at ?? Infinity) < time) {
      keepFrom++;
    }
    if (keepFrom > 0) {
      this.#ownHistory = this.#ownHistory.slice(keepFrom);
    }
  }
}

function computePeak(changes: readonly CountChange[]): number {
  return changes.reduce((peak, { count }) => Math.max(peak, count), 0);
}
