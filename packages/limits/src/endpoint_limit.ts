/** One endpoint's limit, as the scheduler that owns it keeps it. */

import type { Clock } from "@rattanvane/base";
import {
  type AttemptId,
  AttemptOutcome,
  type EndpointId,
  type EndpointLimitState,
} from "@rattanvane/protocol";
import { BootTracker, BootVerdict } from "./boot_tracker.ts";
import { CautiousShare } from "./unleased_share.ts";
import { EndpointHealth, EndpointState } from "./endpoint_health.ts";
import {
  type AttemptEnd,
  type EndpointLimitOptions,
  EndpointNews,
} from "./endpoint_limit_types.ts";
import { type LimitBounds, LimitGrowth } from "./adaptive_limit.ts";
import { OutstandingWork } from "./outstanding_work.ts";
import type { ReportedLoad } from "./reported_load.ts";
import type { EndpointLimitSettings } from "./settings.ts";

/** Counts an endpoint's work and finds its limit. */
export class EndpointLimit {
  readonly endpoint: EndpointId;
  readonly #settings: EndpointLimitSettings;
  readonly #clock: Clock;
  #leased: boolean;
  readonly #boot = new BootTracker();
  readonly #work: OutstandingWork;
  readonly #growth: LimitGrowth;
  readonly #health: EndpointHealth;
  readonly #share: CautiousShare;
  #trial: AttemptId | undefined;
  #handedOver: EndpointLimitState | undefined;
  #resetAt = -Infinity;
  /** When work began after the endpoint was last idle. */
  #busySince = -Infinity;
  /** The newest time at which the endpoint is known to have had this boot. */
  #provenAt = -Infinity;
  #sampledAt = -Infinity;

  constructor(options: EndpointLimitOptions) {
    const { settings, clock } = options;
    this.endpoint = options.endpoint;
    this.#settings = settings;
    this.#clock = clock;
    this.#leased = options.leased;
    this.#work = new OutstandingWork(settings);
    this.#growth = new LimitGrowth(settings, { ...options, now: clock.now() });
    this.#health = new EndpointHealth(settings, options);
    this.#share = new CautiousShare(settings, options.self);
  }

  /** The most requests that the endpoint is thought to bear. */
  get limit(): number {
    return this.#growth.limit;
  }

  get coldLimit(): number {
    return this.#growth.coldLimit;
  }

  /** Attempts that this scheduler counts as running there. */
  get outstanding(): number {
    return this.#work.own + this.#work.orphans;
  }

  get state(): EndpointState {
    return this.#health.state;
  }

  get bootId(): string {
    return this.#boot.bootId;
  }

  /** When the endpoint was last seen to have started anew, in clock time. */
  get resetAt(): number {
    return this.#resetAt;
  }

  /** When the newest report's figures were taken, in clock time. */
  get sampledAt(): number {
    return this.#sampledAt;
  }

  /** Requests that only the endpoint's reports show. */
  get foreign(): number {
    return this.#work.countForeign(this.#clock.now());
  }

  /** Attempts that are counted, but that the last reports did not show. */
  get absent(): number {
    return this.#work.absent;
  }

  /** Whether nothing at all is known to run there. */
  get isIdle(): boolean {
    return this.outstanding + this.foreign === 0;
  }

  /** How many attempts may start now. */
  get freeSlots(): number {
    return this.computeFreeSlots(this.limit);
  }

  /** How many attempts may start now under a lower limit. */
  computeFreeSlots(cap: number): number {
    const state = this.#health.state;
    if (state === EndpointState.Down) {
      return 0;
    }
    if (state === EndpointState.HalfOpen) {
      return this.#trial === undefined ? 1 : 0;
    }
    const limit = Math.min(cap, this.#isProven ? this.limit : this.coldLimit);
    return Math.max(0, this.#computeRoom(limit) - this.outstanding);
  }

  updateBounds(bounds: LimitBounds): void {
    this.#growth.updateBounds(bounds);
  }

  /** Counts an attempt from the grant on. */
  startAttempt(attempt: AttemptId): void {
    if (this.#health.state === EndpointState.HalfOpen) {
      this.#trial ??= attempt;
    }
    if (this.#work.own === 0) {
      this.#busySince = this.#clock.now();
    }
    this.#work.add(attempt, this.#clock.now());
    this.#growth.recordOutstanding(this.outstanding);
    this.#updateShare();
  }

  /** Takes in bytes that an attempt has delivered, and of which boot. */
  recordProgress(bootId: string): EndpointNews {
    this.#health.recordAlive();
    return this.#learnBoot(bootId) === BootVerdict.Restarted
      ? EndpointNews.Restarted
      : EndpointNews.Nothing;
  }

  /** Stops counting an attempt and learns from its end. */
  finishAttempt(attempt: AttemptId, end: AttemptEnd): EndpointNews {
    const now = this.#clock.now();
    const startedAt = this.#work.findStart(attempt);
    this.#work.remove(attempt, now);
    this.#updateShare();
    if (this.#trial === attempt) {
      this.#trial = undefined;
    }
    if (startedAt === undefined) {
      return EndpointNews.Nothing;
    }
    const verdict = this.#learnBoot(end.bootId);
    if (verdict === BootVerdict.Former) {
      return EndpointNews.Nothing;
    }
    const isLate = startedAt <= this.#resetAt;
    const news = this.#learnFromEnd(end, { isLate, now });
    return verdict === BootVerdict.Restarted ? EndpointNews.Restarted : news;
  }

  /** Goes on counting an attempt whose ingress is gone. */
  orphanAttempt(attempt: AttemptId): void {
    if (this.#trial === attempt) {
      this.#trial = undefined;
    }
    this.#work.orphan(attempt, this.#clock.now());
    this.#updateShare();
  }

  /** Takes in a load report; it lags and only corrects the counts. */
  receiveReport(report: ReportedLoad): EndpointNews {
    const now = this.#clock.now();
    const sampledAt = now - report.ageMilliseconds;
    let verdict = this.#boot.updateBootId(report.bootId);
    if (verdict === BootVerdict.Former) {
      return EndpointNews.Nothing;
    }
    const startedAt = sampledAt - report.uptimeMilliseconds;
    const startVerdict = this.#boot.updateStart(startedAt);
    if (startVerdict === BootVerdict.Restarted) {
      verdict = startVerdict;
    }
    if (verdict === BootVerdict.Restarted) {
      this.#reset(now);
    }
    this.#health.recordReport();
    this.#growth.recordStart(startedAt);
    this.#sampledAt = Math.max(this.#sampledAt, sampledAt);
    this.#learnFromReport(report, { sampledAt, now });
    return verdict === BootVerdict.Restarted
      ? EndpointNews.Restarted
      : EndpointNews.Nothing;
  }

  /** Takes in that the endpoint could not be asked for its load. */
  markUnreachable(): EndpointNews {
    // It may be about to start anew; what runs there may be lost unnoticed.
    this.#provenAt = -Infinity;
    if (!this.#health.recordSilence()) {
      return EndpointNews.Nothing;
    }
    this.#reset(this.#clock.now());
    return EndpointNews.Restarted;
  }

  /** Drops counts that nothing has confirmed for too long. */
  removeExpired(): void {
    this.#work.removeExpiredOrphans(this.#clock.now());
  }

  /** Notes whether the scheduler may take itself for the only one. */
  updateLease(leased: boolean): void {
    this.#leased = leased;
  }

  /** Takes what a former scheduler learned, once the boot id agrees. */
  restore(state: EndpointLimitState): void {
    this.#handedOver = state;
    this.#applyHandedOver(this.#clock.now());
  }

  /** What the next scheduler should know. */
  describeState(): EndpointLimitState {
    const { endpoint, bootId, limit, foreign } = this;
    return { endpoint, bootId, limit, foreign };
  }

  /**
   * An endpoint that starts anew while nothing runs there does not show it. So
   * work that begins after an idle time stays within the cold limit until the
   * boot is seen to be the same; from then on, a restart breaks connections.
   */
  get #isProven(): boolean {
    return this.#work.own > 0 && this.#provenAt > this.#busySince;
  }

  #computeRoom(limit: number): number {
    const now = this.#clock.now();
    if (this.#leased) {
      return limit - this.#work.countForeign(now);
    }
    const share = this.#share.computeShare(limit, now);
    const foreign = this.#work.countPeakForeign(now);
    if (foreign === 0 || foreign < Math.floor(limit / 2)) {
      return share;
    }
    if (foreign * 2 <= limit && this.#share.isKnown(now)) {
      return share;
    }
    // Room for one: it makes the other side go back to its half.
    return foreign < limit ? 1 : 0;
  }

  /** Takes in the boot that an attempt was answered by. */
  #learnBoot(bootId: string): BootVerdict {
    const now = this.#clock.now();
    const verdict = this.#boot.updateBootId(bootId);
    if (verdict === BootVerdict.Restarted) {
      this.#reset(now);
    }
    if (verdict === BootVerdict.Same && bootId !== "") {
      this.#provenAt = now;
    }
    return verdict;
  }

  #updateShare(): void {
    const now = this.#clock.now();
    this.#share.updateOwn(this.#work.own, { limit: this.limit, now });
  }

  #reset(now: number): void {
    this.#resetAt = now;
    this.#growth.reset(now);
  }

  #learnFromEnd(
    end: AttemptEnd,
    seen: { isLate: boolean; now: number },
  ): EndpointNews {
    const { now } = seen;
    switch (end.outcome) {
      case AttemptOutcome.Completed:
        this.#learnFromCompletion(end, seen);
        return EndpointNews.Nothing;
      case AttemptOutcome.EndpointRefused:
        this.#health.recordAlive();
        this.#growth.recordOverload(now);
        return EndpointNews.Nothing;
      case AttemptOutcome.NotSent:
        this.#health.recordRefused();
        this.#reset(now);
        return EndpointNews.Restarted;
      case AttemptOutcome.EndpointLost:
        this.#reset(now);
        return EndpointNews.Nothing;
      case AttemptOutcome.TimedOut:
        this.#growth.recordSlow(now);
        return this.markUnreachable();
      case AttemptOutcome.Cancelled:
        return EndpointNews.Nothing;
    }
  }

  /** An answer that began before a restart says nothing of the new start. */
  #learnFromCompletion(
    end: AttemptEnd,
    seen: { isLate: boolean; now: number },
  ): void {
    if (seen.isLate) {
      return;
    }
    if (this.#health.state !== EndpointState.Up) {
      this.#growth.recordStart(seen.now);
    }
    if (this.bootId === "") {
      // An endpoint without boot ids gives no better proof.
      this.#provenAt = seen.now;
    }
    this.#health.recordSuccess();
    this.#growth.recordCompletion(end.firstByteMilliseconds, seen.now);
  }

  #learnFromReport(
    report: ReportedLoad,
    times: { sampledAt: number; now: number },
  ): void {
    const { sampledAt, now } = times;
    const requests = report.running + report.waiting;
    this.#work.updateFromSample({ sampledAt, requests }, now);
    this.#share.recordReport({
      now,
      sampledAt,
      foreign: this.#work.countForeign(now),
      isSure: this.#work.isSure,
      limit: this.limit,
    });
    const slack = this.#settings.reportSlackMilliseconds;
    if (sampledAt - slack > this.#resetAt) {
      this.#provenAt = Math.max(this.#provenAt, sampledAt - slack);
      this.#growth.recordReport(report, now);
      this.#applyHandedOver(now);
    }
  }

  #applyHandedOver(now: number): void {
    const state = this.#handedOver;
    if (state === undefined || this.bootId === "") {
      return;
    }
    this.#handedOver = undefined;
    if (state.bootId === this.bootId) {
      this.#growth.restore(state.limit, now);
    }
  }
}
