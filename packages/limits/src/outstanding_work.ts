/** Counts an endpoint's work, with lagging reports only correcting it. */

import type { AttemptId } from "@rattanvane/protocol";
import type { EndpointLimitSettings } from "./settings.ts";

/** A slot that is used again so soon has not been empty. */
const REPLACED_MILLISECONDS = 10;

/**
 * Reports in a row that must miss an attempt, or someone else's request, before
 * it is taken for ended: one report may catch a slot between two attempts.
 */
const REPORTS_UNTIL_ABSENT = 3;

interface CountChange {
  at: number;
  /** The count from this moment on. */
  count: number;
}

/** Work at an endpoint as a report shows it. */
export interface WorkSample {
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  /** Running and waiting requests of everyone. */
  requests: number;
}

/**
 * Attempts that this scheduler counts, orphans whose ingress died, and foreign
 * requests that only reports show. A report is compared with the counts around
 * the moment at which it was taken, since it lags. Where our own counts changed
 * around it, what was known of others is kept as far as that is possible.
 */
export class OutstandingWork {
  readonly #settings: EndpointLimitSettings;
  readonly #attempts = new Map<AttemptId, number>();
  #history: CountChange[] = [];
  #orphans = 0;
  #orphanedAt = 0;
  #isSure = false;
  #absent: number[] = [];
  #foreignHistory: CountChange[] = [];

  constructor(settings: EndpointLimitSettings) {
    this.#settings = settings;
  }

  /** Attempts that this scheduler has granted and not seen end. */
  get own(): number {
    return this.#attempts.size;
  }

  /** Attempts whose ingress died while they ran. */
  get orphans(): number {
    return this.#orphans;
  }

  /** When an attempt was granted; undefined when it is not counted. */
  findStart(attempt: AttemptId): number | undefined {
    return this.#attempts.get(attempt);
  }

  add(attempt: AttemptId, now: number): void {
    this.#attempts.set(attempt, now);
    this.#recordCount(now);
  }

  /** Returns whether the attempt was counted. */
  remove(attempt: AttemptId, now: number): boolean {
    const removed = this.#attempts.delete(attempt);
    if (removed) {
      this.#recordCount(now);
    }
    return removed;
  }

  /** Goes on counting an attempt of which nobody will report the end. */
  orphan(attempt: AttemptId, now: number): void {
    if (this.remove(attempt, now)) {
      this.#orphans++;
      this.#orphanedAt = now;
    }
  }

  /** Requests of others; figures that are too old count as none. */
  countForeign(now: number): number {
    const since = now - this.#settings.reportFreshMilliseconds;
    const recent = this.#foreignHistory.slice(-REPORTS_UNTIL_ABSENT);
    return computePeak(recent.filter(({ at }) => at >= since));
  }

  /** The most requests of others that any report showed lately. */
  countPeakForeign(now: number): number {
    const since = now - this.#settings.aloneMilliseconds;
    const recent = this.#foreignHistory.filter(({ at }) => at >= since);
    return Math.max(this.countForeign(now), computePeak(recent));
  }

  /** Whether the last report left no doubt of how many are foreign. */
  get isSure(): boolean {
    return this.#isSure;
  }

  /** Attempts that are counted, but that the last reports did not show. */
  get absent(): number {
    const isKnown = this.#absent.length === REPORTS_UNTIL_ABSENT;
    return isKnown ? Math.min(...this.#absent) : 0;
  }

  /** Drops orphans that no report has confirmed for too long. */
  removeExpiredOrphans(now: number): void {
    const age = now - this.#orphanedAt;
    if (age >= this.#settings.orphanTimeoutMilliseconds) {
      this.#orphans = 0;
    }
  }

  /** Corrects orphans and foreign requests by a report. */
  updateFromSample(sample: WorkSample, now: number): void {
    const slack = this.#settings.reportSlackMilliseconds;
    const around = this.#listCounts(
      sample.sampledAt - slack,
      sample.sampledAt + slack,
    );
    if (sample.sampledAt - slack > this.#orphanedAt) {
      const others = sample.requests - Math.min(...around);
      this.#orphans = Math.min(this.#orphans, Math.max(0, others));
    }
    this.#absent.push(Math.max(0, Math.min(...around) - sample.requests));
    this.#absent.splice(0, this.#absent.length - REPORTS_UNTIL_ABSENT);
    const rest = sample.requests - this.#orphans;
    const least = Math.max(0, rest - Math.max(...around));
    const most = Math.max(0, rest - Math.min(...around));
    const kept = Math.min(this.#foreignHistory.at(-1)?.count ?? 0, most);
    const count = Math.max(least, kept);
    this.#foreignHistory.push({ at: now, count });
    const since = now - this.#settings.reportFreshMilliseconds;
    this.#foreignHistory = this.#foreignHistory.filter(({ at }) => at >= since);
    this.#isSure = least === most;
    this.#forgetBefore(sample.sampledAt - 2 * slack);
  }

  #recordCount(now: number): void {
    const last = this.#history.at(-1);
    if (last !== undefined && now - last.at <= REPLACED_MILLISECONDS) {
      last.count = this.#attempts.size;
      return;
    }
    this.#history.push({ at: now, count: this.#attempts.size });
    this.#forgetBefore(now - this.#settings.reportFreshMilliseconds);
  }

  /** Every count that held at some moment of the span; never empty. */
  #listCounts(from: number, to: number): number[] {
    let before = 0;
    const counts: number[] = [];
    for (const change of this.#history) {
      if (change.at < from) {
        before = change.count;
      } else if (change.at <= to) {
        counts.push(change.count);
      }
    }
    return [before, ...counts];
  }

  #forgetBefore(time: number): void {
    let keepFrom = 0;
    while ((this.#history[keepFrom + 1]?.at ?? Infinity) < time) {
      keepFrom++;
    }
    if (keepFrom > 0) {
      this.#history = this.#history.slice(keepFrom);
    }
  }
}

function computePeak(changes: readonly CountChange[]): number {
  return changes.reduce((peak, { count }) => Math.max(peak, count), 0);
}
