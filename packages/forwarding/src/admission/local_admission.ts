/** Admits requests with the schedulers of this VM. */

import type { Clock } from "@rattanvane/base";
import type { EndpointReport, ServiceId } from "@rattanvane/protocol";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { computeCost, type SchedulableCall } from "../model/call.ts";
import {
  buildSendState,
  computeSlowdown,
  type SendState,
} from "../scheduling/completion_times.ts";
import { RefusalKind } from "../scheduling/refusal.ts";
import type { Grant } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";
import type { ServiceRuntime } from "../service_registry.ts";
import type { CrashTracker, TrackedAttempt } from "../state/crash_tracker.ts";
import {
  Admission,
  type AdmissionRequest,
  type AdmissionResult,
  AttemptGrant,
  type AttemptReport,
  type GrantedEndpoint,
  type GrantForecast,
  UNUSED_REPORT,
} from "./admission.ts";

const QUARANTINE_RETRY_AFTER_MILLISECONDS = 10_000;
const UNKNOWN_SERVICE_RETRY_AFTER_MILLISECONDS = 300;

/** Dependencies of a {@link LocalAdmission}. */
export interface LocalAdmissionOptions {
  clock: Clock;
  shares: ShareMeter;
  crashes: CrashTracker;
  findRuntime: (service: ServiceId) => ServiceRuntime | undefined;
}

/** Submits requests to the schedulers of this VM and accounts for the attempts. */
export class LocalAdmission extends Admission {
  readonly #options: LocalAdmissionOptions;

  constructor(options: LocalAdmissionOptions) {
    super();
    this.#options = options;
  }

  override async submit(
    { call, avoid, excluded, isRepeated, isHedge }: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionResult> {
    const { shares, crashes, findRuntime } = this.#options;
    if (crashes.isQuarantined(call)) {
      return buildQuarantineRefusal(0);
    }
    const runtime = findRuntime(call.service);
    if (runtime === undefined) {
      return buildRefusal(
        RefusalKind.NoEndpoint,
        UNKNOWN_SERVICE_RETRY_AFTER_MILLISECONDS,
      );
    }
    if (isHedge) {
      const grant = runtime.scheduler.grantSpare(call, { avoid, excluded });
      return grant === undefined
        ? buildRefusal(RefusalKind.Overload, 0)
        : { grant: this.#createGrant(call, runtime, grant) };
    }
    if (call.organisation !== undefined && !isRepeated) {
      shares.recordAsked(call.organisation, computeCost(call));
    }
    const decision = await runtime.scheduler.submit(
      call,
      { avoid, excluded },
      signal,
    );
    if (decision.refusal !== undefined) {
      return { refusal: decision.refusal };
    }
    const { grant } = decision;
    if (crashes.isQuarantined(call)) {
      runtime.scheduler.release(grant);
      return buildQuarantineRefusal(grant.waitedMilliseconds);
    }
    return { grant: this.#createGrant(call, runtime, grant) };
  }

  #createGrant(
    call: SchedulableCall,
    runtime: ServiceRuntime,
    grant: Grant,
  ): AttemptGrant {
    const { clock, crashes } = this.#options;
    return new LocalGrant({
      call,
      runtime,
      grant,
      crashes,
      clock,
      sentAt: clock.now(),
    });
  }
}

interface LocalGrantOptions {
  call: SchedulableCall;
  runtime: ServiceRuntime;
  grant: Grant;
  crashes: CrashTracker;
  clock: Clock;
  sentAt: number;
}

/** An attempt that a scheduler of this VM granted. */
class LocalGrant extends AttemptGrant {
  override readonly endpoint: GrantedEndpoint;
  override readonly forecast: GrantForecast;
  readonly #options: LocalGrantOptions;
  readonly #tracked: TrackedAttempt;
  /** Taken when the attempt was counted as running. */
  readonly #sendState: SendState;
  /** The mean slowdown until the answer began; undefined before. */
  #slowdown: number | undefined;

  constructor(options: LocalGrantOptions) {
    super();
    const { call, grant, crashes } = options;
    const { endpoint } = grant;
    this.#options = options;
    this.#sendState = buildSendState(endpoint);
    this.#tracked = crashes.registerAttempt(endpoint.record, call);
    this.endpoint = endpoint.record;
    const slowMilliseconds = options.runtime.answerTimes?.computeQuantile(call);
    this.forecast = {
      ...buildForecast(grant),
      ...(slowMilliseconds === undefined ? {} : { slowMilliseconds }),
    };
  }

  override recordAnswerStart(report?: EndpointReport): void {
    const { crashes, runtime, grant } = this.#options;
    if (report !== undefined) {
      grant.endpoint.speed.record(report);
    }
    this.#slowdown = computeSlowdown(grant.endpoint, this.#sendState);
    crashes.recordResponseStart(this.#tracked);
    runtime.scheduler.markResponding(grant);
  }

  override recordEnd(report: AttemptReport): void {
    const { crashes, runtime, grant } = this.#options;
    crashes.recordOutcome(this.#tracked, report.kind);
    if (report.report !== undefined) {
      grant.endpoint.speed.record(report.report);
    }
    this.#recordVersion(report);
    this.#updateEndpoint(report);
    this.#recordTiming(report);
    this.#recordAnswerTime(report);
    runtime.scheduler.release(grant);
  }

  /**
   * A slow attempt that was cancelled would have taken longer, and counts as
   * what it took. Without it, the quantile would shrink. Nothing is known of an
   * attempt whose VM was lost.
   */
  #recordAnswerTime(report: AttemptReport): void {
    const { call, clock, runtime, sentAt } = this.#options;
    const { kind, firstMilliseconds } = report;
    const elapsed = clock.now() - sentAt;
    const { slowMilliseconds = Infinity } = this.forecast;
    const isCancelledWhenSlow = kind === OutcomeKind.Stopped &&
      report !== UNUSED_REPORT && elapsed > slowMilliseconds;
    if (kind === OutcomeKind.Answered || isCancelledWhenSlow) {
      runtime.answerTimes?.record(call, firstMilliseconds ?? elapsed);
    }
  }

  /** Keeps what tells a worse version during a roll-out. */
  #recordVersion({ kind, firstMilliseconds }: AttemptReport): void {
    const { call, clock, grant, runtime, sentAt } = this.#options;
    if (runtime.versions?.isActive === true) {
      runtime.versions.recordEnd(grant.endpoint, {
        route: call.route.name ?? "",
        kind,
        objectiveMilliseconds: call.route.objectiveMilliseconds,
        firstMilliseconds,
        durationMilliseconds: clock.now() - sentAt,
        isCold: grant.endpoint.coldStart.isCold,
      });
    }
  }

  /** Updates the endpoint's cold-start state, availability and failure rate. */
  #updateEndpoint({ kind, isConnectionRefused }: AttemptReport): void {
    const { grant, runtime, sentAt } = this.#options;
    const { endpoint } = grant;
    switch (kind) {
      case OutcomeKind.NotSent:
        endpoint.coldStart.recordConnectFailure(isConnectionRefused);
        return;
      case OutcomeKind.WrongInstance:
        endpoint.isOpen = false;
        return;
      case OutcomeKind.Stopped:
        return;
      case OutcomeKind.Answered:
      case OutcomeKind.NotRun:
      case OutcomeKind.Failed:
        endpoint.coldStart.recordAnswer(sentAt, runtime.scheduler.coldBound);
        break;
      case OutcomeKind.Broken:
      case OutcomeKind.StreamBroken:
        break;
    }
    endpoint.recordOutcome(kind !== OutcomeKind.Answered);
  }

  /** Records the timing of an answer, unless the endpoint failed. */
  #recordTiming(report: AttemptReport): void {
    const { call, grant, runtime } = this.#options;
    const { choice, endpoint } = grant;
    const { firstMilliseconds, kind } = report;
    if (firstMilliseconds === undefined || kind === OutcomeKind.Failed) {
      return;
    }
    const slowdown = this.#slowdown ??
      computeSlowdown(endpoint, this.#sendState);
    if (call.identity.prompt === undefined) {
      if (endpoint.speed.isReported && kind === OutcomeKind.Answered) {
        const { queueFactor } = this.#sendState;
        runtime.completions.record(
          endpoint,
          firstMilliseconds / slowdown / queueFactor,
        );
      }
      return;
    }
    runtime.scheduler.recordPause(grant, {
      longestMilliseconds: report.longestPauseMilliseconds,
      allowedMilliseconds: call.route.pauseMilliseconds,
    });
    runtime.model.addSample(choice.totalWork, firstMilliseconds / slowdown);
    const predicted = Math.max(1, choice.predictedMilliseconds) /
      this.#sendState.slowdown;
    endpoint.recordPace(
      firstMilliseconds / slowdown * endpoint.usualPace / predicted,
    );
  }
}

function buildForecast(
  { choice, endpoint, waitedMilliseconds }: Grant,
): GrantForecast {
  return {
    predictedMilliseconds: choice.predictedMilliseconds,
    waitedMilliseconds,
    ownTokens: choice.work.tokens,
    aheadTokens: choice.totalWork.tokens - choice.work.tokens,
    missingTokens: choice.missingTokens,
    isLong: choice.isLong,
    running: endpoint.running,
  };
}

/** Builds the refusal of a request that was queued for this time. */
function buildQuarantineRefusal(waitedMilliseconds: number): AdmissionResult {
  return {
    refusal: {
      kind: RefusalKind.Quarantined,
      retryAfterMilliseconds: QUARANTINE_RETRY_AFTER_MILLISECONDS,
      waitedMilliseconds,
    },
  };
}

function buildRefusal(
  kind: RefusalKind,
  retryAfterMilliseconds: number,
): AdmissionResult {
  return { refusal: { kind, retryAfterMilliseconds, waitedMilliseconds: 0 } };
}
