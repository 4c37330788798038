/** Limits the concurrent attempts at one endpoint; kept by its scheduler. */

import type { Clock } from "@rattanvane/base";
import {
  type AttemptId,
  AttemptOutcome,
  type EndpointId,
  type EndpointLimitState,
} from "@rattanvane/protocol";
import { BootTracker, BootVerdict } from "./boot_tracker.ts";
import { UnleasedShare } from "./unleased_share.ts";
import { EndpointHealth, EndpointState } from "./endpoint_health.ts";
import {
  type AttemptEnd,
  EndpointEvent,
  type EndpointLimitOptions,
} from "./endpoint_limit_types.ts";
import { AdaptiveLimit, type LimitBounds } from "./adaptive_limit.ts";
import { OutstandingWork } from "./outstanding_work.ts";
import type { ReportedLoad } from "./reported_load.ts";
import type { EndpointLimitSettings } from "./settings.ts";

/** Counts the attempts at an endpoint and determines its concurrency limit. */
export class EndpointLimit {
  readonly endpoint: EndpointId;
  readonly #settings: EndpointLimitSettings;
  readonly #clock: Clock;
  #leased: boolean;
  readonly #bootTracker = new BootTracker();
  readonly #outstandingWork: OutstandingWork;
  readonly #adaptiveLimit: AdaptiveLimit;
  readonly #health: EndpointHealth;
  readonly #unleasedShare: UnleasedShare;
  #probeAttempt: AttemptId | undefined;
  #handedOverState: EndpointLimitState | undefined;
  #resetAt = -Infinity;
  /** When this scheduler's first attempt after its last idle time started. */
  #busySince = -Infinity;
  /** Latest time at which the current boot of the endpoint was confirmed. */
  #bootConfirmedAt = -Infinity;
  #sampledAt = -Infinity;

  constructor(options: EndpointLimitOptions) {
    const { settings, clock } = options;
    this.endpoint = options.endpoint;
    this.#settings = settings;
    this.#clock = clock;
    this.#leased = options.leased;
    this.#outstandingWork = new OutstandingWork(settings);
    this.#adaptiveLimit = new AdaptiveLimit(settings, {
      ...options,
      now: clock.now(),
    });
    this.#health = new EndpointHealth(settings, options);
    this.#unleasedShare = new UnleasedShare(settings, options.self);
  }

  /** Estimated number of requests that the endpoint can run concurrently. */
  get limit(): number {
    return this.#adaptiveLimit.limit;
  }

  get coldLimit(): number {
    return this.#adaptiveLimit.coldLimit;
  }

  /** Number of attempts that this scheduler counts as running there. */
  get outstanding(): number {
    return this.#outstandingWork.own + this.#outstandingWork.orphans;
  }

  get state(): EndpointState {
    return this.#health.state;
  }

  get bootId(): string {
    return this.#bootTracker.bootId;
  }

  /** When the limit was last reset after a restart or crash, in clock time. */
  get resetAt(): number {
    return this.#resetAt;
  }

  /** When the figures of the newest report were taken, in clock time. */
  get sampledAt(): number {
    return this.#sampledAt;
  }

  /** Number of requests that only the endpoint's reports show. */
  get foreign(): number {
    return this.#outstandingWork.countForeign(this.#clock.now());
  }

  /** Number of counted attempts that the last reports did not show. */
  get absent(): number {
    return this.#outstandingWork.absent;
  }

  /** Whether no running request is known, of this scheduler or of others. */
  get isIdle(): boolean {
    return this.outstanding + this.foreign === 0;
  }

  /** Number of attempts that may start now. */
  get freeSlots(): number {
    return this.computeFreeSlots(this.limit);
  }

  /** Computes how many attempts may start now under a lower limit. */
  computeFreeSlots(lowerLimit: number): number {
    const state = this.#health.state;
    if (state === EndpointState.Down) {
      return 0;
    }
    if (state === EndpointState.HalfOpen) {
      return this.#probeAttempt === undefined ? 1 : 0;
    }
    const limit = Math.min(
      lowerLimit,
      this.#isBootConfirmed ? this.limit : this.coldLimit,
    );
    return Math.max(0, this.#computeOwnLimit(limit) - this.outstanding);
  }

  /** Applies new configured bounds. */
  updateBounds(bounds: LimitBounds): void {
    this.#adaptiveLimit.updateBounds(bounds);
  }

  /** Counts an attempt from its grant on. */
  startAttempt(attempt: AttemptId): void {
    if (this.#health.state === EndpointState.HalfOpen) {
      this.#probeAttempt ??= attempt;
    }
    if (this.#outstandingWork.own === 0) {
      this.#busySince = this.#clock.now();
    }
    this.#outstandingWork.add(attempt, this.#clock.now());
    this.#adaptiveLimit.recordOutstanding(this.outstanding);
    this.#updateShare();
  }

  /** Records that an attempt has delivered data, and by which boot. */
  recordProgress(bootId: string): EndpointEvent {
    this.#health.recordAlive();
    return this.#updateBoot(bootId) === BootVerdict.Restarted
      ? EndpointEvent.Restarted
      : EndpointEvent.None;
  }

  /** Stops counting an attempt and adjusts the limit to how it ended. */
  finishAttempt(attempt: AttemptId, end: AttemptEnd): EndpointEvent {
    const now = this.#clock.now();
    const startedAt = this.#outstandingWork.findStart(attempt);
    this.#outstandingWork.remove(attempt, now);
    this.#updateShare();
    if (this.#probeAttempt === attempt) {
      this.#probeAttempt = undefined;
    }
    if (startedAt === undefined) {
      return EndpointEvent.None;
    }
    const verdict = this.#updateBoot(end.bootId);
    if (verdict === BootVerdict.Former) {
      return EndpointEvent.None;
    }
    const isBeforeReset = startedAt <= this.#resetAt;
    const event = this.#applyOutcome(end, { isBeforeReset, now });
    return verdict === BootVerdict.Restarted ? EndpointEvent.Restarted : event;
  }

  /** Keeps counting an attempt whose ingress has died. */
  orphanAttempt(attempt: AttemptId): void {
    if (this.#probeAttempt === attempt) {
      this.#probeAttempt = undefined;
    }
    this.#outstandingWork.orphan(attempt, this.#clock.now());
    this.#updateShare();
  }

  /** Applies a load report; since it lags, it only corrects the counts. */
  receiveReport(report: ReportedLoad): EndpointEvent {
    const now = this.#clock.now();
    const sampledAt = now - report.ageMilliseconds;
    let verdict = this.#bootTracker.updateBootId(report.bootId);
    if (verdict === BootVerdict.Former) {
      return EndpointEvent.None;
    }
    const startedAt = sampledAt - report.uptimeMilliseconds;
    const startVerdict = this.#bootTracker.updateStartTime(startedAt);
    if (startVerdict === BootVerdict.Restarted) {
      verdict = startVerdict;
    }
    if (verdict === BootVerdict.Restarted) {
      this.#reset(now);
    }
    this.#health.recordReport();
    this.#adaptiveLimit.recordStart(startedAt);
    this.#sampledAt = Math.max(this.#sampledAt, sampledAt);
    this.#applyReport(report, { sampledAt, now });
    return verdict === BootVerdict.Restarted
      ? EndpointEvent.Restarted
      : EndpointEvent.None;
  }

  /** Records that the endpoint did not respond, e.g. when asked for its load. */
  markUnreachable(): EndpointEvent {
    // The endpoint may be about to restart, and attempts may be lost unnoticed.
    this.#bootConfirmedAt = -Infinity;
    if (!this.#health.recordFailure()) {
      return EndpointEvent.None;
    }
    this.#reset(this.#clock.now());
    return EndpointEvent.Restarted;
  }

  /** Removes orphaned attempts whose end no report has shown for too long. */
  removeExpired(): void {
    this.#outstandingWork.removeExpiredOrphans(this.#clock.now());
  }

  /** Updates whether the scheduler may assume to be the endpoint's only one. */
  updateLease(leased: boolean): void {
    this.#leased = leased;
  }

  /** Restores the previous scheduler's limit once the boot id matches. */
  restore(state: EndpointLimitState): void {
    this.#handedOverState = state;
    this.#applyHandedOver(this.#clock.now());
  }

  /** Describes the state to hand over to the next scheduler. */
  describeState(): EndpointLimitState {
    const { endpoint, bootId, limit, foreign } = this;
    return { endpoint, bootId, limit, foreign };
  }

  /**
   * Whether the endpoint is known not to have restarted since it was idle.
   *
   * A restart goes unnoticed while no attempt is running. After an idle time,
   * attempts therefore stay within the cold limit until the boot is confirmed
   * to be the same. From then on, a restart breaks connections.
   */
  get #isBootConfirmed(): boolean {
    return this.#outstandingWork.own > 0 &&
      this.#bootConfirmedAt > this.#busySince;
  }

  /** Computes the part of the limit that this scheduler's attempts may use. */
  #computeOwnLimit(limit: number): number {
    const now = this.#clock.now();
    if (this.#leased) {
      return limit - this.#outstandingWork.countForeign(now);
    }
    const share = this.#unleasedShare.computeShare(limit, now);
    const foreign = this.#outstandingWork.countPeakForeign(now);
    if (foreign === 0 || foreign < Math.floor(limit / 2)) {
      return share;
    }
    if (foreign * 2 <= limit && this.#unleasedShare.isVisibleToOthers(now)) {
      return share;
    }
    // One attempt is enough to make the other scheduler reset its share to half.
    return foreign < limit ? 1 : 0;
  }

  /** Updates the boot by which an attempt was answered. */
  #updateBoot(bootId: string): BootVerdict {
    const now = this.#clock.now();
    const verdict = this.#bootTracker.updateBootId(bootId);
    if (verdict === BootVerdict.Restarted) {
      this.#reset(now);
    }
    if (verdict === BootVerdict.Same && bootId !== "") {
      this.#bootConfirmedAt = now;
    }
    return verdict;
  }

  #updateShare(): void {
    const now = this.#clock.now();
    this.#unleasedShare.updateOwnAttempts(this.#outstandingWork.own, {
      limit: this.limit,
      now,
    });
  }

  #reset(now: number): void {
    this.#resetAt = now;
    this.#adaptiveLimit.reset(now);
  }

  #applyOutcome(
    end: AttemptEnd,
    timing: { isBeforeReset: boolean; now: number },
  ): EndpointEvent {
    const { now } = timing;
    switch (end.outcome) {
      case AttemptOutcome.Completed:
        this.#applyCompletion(end, timing);
        return EndpointEvent.None;
      case AttemptOutcome.EndpointRefused:
        this.#health.recordAlive();
        this.#adaptiveLimit.recordOverload(now);
        return EndpointEvent.None;
      case AttemptOutcome.NotSent:
        this.#health.recordRefused();
        this.#reset(now);
        return EndpointEvent.Restarted;
      case AttemptOutcome.EndpointLost:
        this.#reset(now);
        return EndpointEvent.None;
      case AttemptOutcome.TimedOut:
        this.#adaptiveLimit.recordSlow(now);
        return this.markUnreachable();
      case AttemptOutcome.Cancelled:
        return EndpointEvent.None;
    }
  }

  /** Ignores attempts from before a reset: they tell nothing of the new boot. */
  #applyCompletion(
    end: AttemptEnd,
    timing: { isBeforeReset: boolean; now: number },
  ): void {
    if (timing.isBeforeReset) {
      return;
    }
    if (this.#health.state !== EndpointState.Up) {
      this.#adaptiveLimit.recordStart(timing.now);
    }
    if (this.bootId === "") {
      // Without boot ids, a completed answer is the best confirmation there is.
      this.#bootConfirmedAt = timing.now;
    }
    this.#health.recordSuccess();
    this.#adaptiveLimit.recordCompletion(end.firstByteMilliseconds, timing.now);
  }

  #applyReport(
    report: ReportedLoad,
    times: { sampledAt: number; now: number },
  ): void {
    const { sampledAt, now } = times;
    const requests = report.running + report.waiting;
    this.#outstandingWork.updateFromSample({ sampledAt, requests }, now);
    this.#unleasedShare.recordReport({
      now,
      sampledAt,
      foreign: this.#outstandingWork.countForeign(now),
      isForeignExact: this.#outstandingWork.isForeignExact,
      limit: this.limit,
    });
    const slack = this.#settings.reportSlackMilliseconds;
    if (sampledAt - slack > this.#resetAt) {
      this.#bootConfirmedAt = Math.max(
        this.#bootConfirmedAt,
        sampledAt - slack,
      );
      this.#adaptiveLimit.recordReport(report, now);
      this.#applyHandedOver(now);
    }
  }

  #applyHandedOver(now: number): void {
    const state = this.#handedOverState;
    if (state === undefined || this.bootId === "") {
      return;
    }
    this.#handedOverState = undefined;
    if (state.bootId === this.bootId) {
      this.#adaptiveLimit.restore(state.limit, now);
    }
  }
}
