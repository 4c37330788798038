/** Forwards one request: waits for grants, makes attempts and answers once. */

import { ChildAbort, type Clock, type Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { CrashTracker } from "../state/crash_tracker.ts";
import { type AttemptOutcome, OutcomeKind } from "../model/attempt_outcome.ts";
import type { ForwardedCall } from "../model/call.ts";
import type { Dialect } from "../model/dialect.ts";
import { Repeatability } from "../model/route.ts";
import type { ForwardingMetrics } from "../metrics/forwarding_metrics.ts";
import type { PrefillModel } from "../scheduling/prefill_model.ts";
import type { RetryAllowance } from "../scheduling/retry_allowance.ts";
import type {
  Grant,
  ServiceScheduler,
} from "../scheduling/service_scheduler.ts";
import { AttemptRun, isStreamed } from "./attempt_run.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { EndpointTransport } from "./endpoint_transport.ts";
import { FinalAnswer, RequestProgress } from "./final_answer.ts";

/** Sends beyond the route's attempts, to make up for those that did not run. */
const MAX_EXTRA_SENDS = 3;
/** Part of a failure's reason when the endpoint refused the connection. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";
const MIN_TIME_FOR_RETRY_MILLISECONDS = 20;

/** The dependencies that all requests share. */
export interface ForwardEnvironment {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  transport: EndpointTransport;
  metrics: ForwardingMetrics;
  suspects: SuspectRegistry;
  crashes: CrashTracker;
  /** The number of VMs that share the bounds of the fleet. */
  countVms: () => number;
}

/** One request and the dependencies specific to its service. */
export interface ForwardRunOptions {
  call: ForwardedCall;
  answer: CallerAnswer;
  scheduler: ServiceScheduler;
  retries: RetryAllowance;
  /** Updated with the time to the first byte of each prompt's answer. */
  model: PrefillModel;
  configurationVersion: number;
}

/** Serves one request; the caller gets exactly one final answer. */
export class ForwardRun {
  readonly #environment: ForwardEnvironment;
  readonly #options: ForwardRunOptions;
  readonly #progress = new RequestProgress();
  readonly #finalAnswer: FinalAnswer;
  readonly #avoidedEndpoints = new Set<string>();

  constructor(environment: ForwardEnvironment, options: ForwardRunOptions) {
    this.#environment = environment;
    this.#options = options;
    this.#finalAnswer = new FinalAnswer({
      ...environment,
      ...options,
      progress: this.#progress,
    });
  }

  /** Runs until the answer is sent, the deadline passes or the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#environment;
    const { call } = this.#options;
    const lifetime = new ChildAbort(signal);
    const timer = setTimeout(
      () => {
        lifetime.abort();
        this.#finalAnswer.expire();
      },
      Math.max(0, call.deadlineAt - clock.now()),
    );
    try {
      await this.#serve(lifetime.signal);
    } finally {
      clearTimeout(timer);
      lifetime.abort();
    }
  }

  async #serve(signal: AbortSignal): Promise<void> {
    const { call, scheduler, retries } = this.#options;
    retries.recordRequest();
    while (!signal.aborted) {
      const verdict = await scheduler.submit(
        call,
        this.#avoidedEndpoints,
        signal,
      );
      if (verdict.refusal !== undefined) {
        this.#finalAnswer.refuse(verdict.refusal);
        return;
      }
      const outcome = await this.#attempt(verdict.grant, signal);
      if (!this.#mayRetry(outcome, verdict.grant)) {
        this.#finalAnswer.conclude(outcome, verdict.grant.endpoint);
        return;
      }
    }
  }

  async #attempt(
    grant: Grant,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { call, answer, scheduler } = this.#options;
    const { endpoint } = grant;
    const sentAt = this.#environment.clock.now();
    const watched = this.#environment.crashes.registerAttempt(
      endpoint.record.id,
      call,
    );
    this.#progress.sends++;
    const attempt = new AttemptRun({
      ...this.#environment,
      call,
      grant,
      answer,
      splitter: this.#progress.splitter,
      onAnswering: () => scheduler.markResponding(grant),
    });
    const outcome = await attempt.run(signal);
    this.#environment.crashes.recordOutcome(watched, outcome.kind);
    this.#updateEndpoint(grant, outcome, sentAt);
    this.#recordTiming(grant, outcome);
    scheduler.release(grant);
    this.#logAttempt(grant, outcome);
    return outcome;
  }

  /** Updates the endpoint's cold-start state, availability and failure rate. */
  #updateEndpoint(grant: Grant, outcome: AttemptOutcome, sentAt: number): void {
    const { endpoint } = grant;
    const { scheduler } = this.#options;
    switch (outcome.kind) {
      case OutcomeKind.NotSent:
        endpoint.coldStart.recordConnectFailure(
          outcome.reason.includes(CONNECTION_REFUSED_CODE),
        );
        return;
      case OutcomeKind.WrongInstance:
        endpoint.isOpen = false;
        return;
      case OutcomeKind.Stopped:
        return;
      case OutcomeKind.Answered:
      case OutcomeKind.NotRun:
      case OutcomeKind.Failed:
        endpoint.coldStart.recordAnswer(sentAt, scheduler.coldBound);
        break;
      case OutcomeKind.Broken:
      case OutcomeKind.StreamBroken:
        break;
    }
    endpoint.recordOutcome(outcome.kind !== OutcomeKind.Answered);
  }

  /** Records the timing of an answer to a prompt, unless the endpoint failed. */
  #recordTiming(grant: Grant, outcome: AttemptOutcome): void {
    const { choice, endpoint } = grant;
    const { firstMilliseconds } = outcome;
    const isUsable = firstMilliseconds !== undefined &&
      this.#options.call.identity.prompt !== undefined &&
      outcome.kind !== OutcomeKind.Failed;
    if (!isUsable) {
      return;
    }
    this.#options.scheduler.recordPause(grant, {
      longestMilliseconds: outcome.longestPauseMilliseconds,
      allowedMilliseconds: this.#options.call.route.pauseMilliseconds,
    });
    this.#options.model.addSample(choice.totalWork, firstMilliseconds);
    endpoint.recordPace(
      firstMilliseconds * endpoint.pace /
        Math.max(1, choice.predictedMilliseconds),
    );
  }

  /**
   * Whether another attempt may be made. Counts it against the retry budget,
   * unless nothing was sent.
   */
  #mayRetry(outcome: AttemptOutcome, grant: Grant): boolean {
    const { call, answer } = this.#options;
    if (!this.#countRun(outcome)) {
      return false;
    }
    this.#avoidedEndpoints.add(grant.endpoint.record.id);
    const { clock, countVms, suspects } = this.#environment;
    const remaining = call.deadlineAt - clock.now();
    const repeatable = isRepeatable(call, answer.hasBegun);
    const mayRepeat = isNotRun(outcome.kind) ||
      (repeatable && this.#progress.runs < call.route.attempts);
    const isSuspect = suspects.isQuarantined(call.fingerprint);
    if (
      !mayRepeat || isSuspect || remaining < MIN_TIME_FOR_RETRY_MILLISECONDS
    ) {
      return false;
    }
    if (this.#progress.sends >= call.route.attempts + MAX_EXTRA_SENDS) {
      return false;
    }
    if (outcome.kind === OutcomeKind.NotSent) {
      return true;
    }
    return this.#options.retries.take(countVms());
  }

  /** Counts an attempt that may have run; false when the outcome is final. */
  #countRun(outcome: AttemptOutcome): boolean {
    switch (outcome.kind) {
      case OutcomeKind.Answered:
      case OutcomeKind.Stopped:
        return false;
      case OutcomeKind.Failed:
        this.#progress.failure = outcome.answer;
        this.#progress.runs++;
        return true;
      case OutcomeKind.Broken:
      case OutcomeKind.StreamBroken:
        this.#progress.runs++;
        return true;
      case OutcomeKind.NotRun:
      case OutcomeKind.WrongInstance:
      case OutcomeKind.NotSent:
        return true;
    }
  }

  #logAttempt(grant: Grant, outcome: AttemptOutcome): void {
    const { call } = this.#options;
    const { endpoint, choice, waitedMilliseconds } = grant;
    this.#environment.metrics.recordAttempt(call, outcome);
    this.#environment.logger.info("an attempt ended", {
      request: call.identity.request,
      service: call.service,
      organisation: call.organisation,
      endpoint: endpoint.record.id,
      zone: endpoint.record.zone,
      outcome: outcome.kind,
      reason: outcome.reason,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      predictedMilliseconds: Math.round(choice.predictedMilliseconds),
      firstMilliseconds: Math.round(outcome.firstMilliseconds ?? -1),
      longestPauseMilliseconds: Math.round(outcome.longestPauseMilliseconds),
      pauseAt: Math.round(outcome.pauseAt),
      durationMilliseconds: Math.round(outcome.durationMilliseconds),
      ownTokens: choice.work.tokens,
      aheadTokens: choice.totalWork.tokens - choice.work.tokens,
      missingTokens: choice.missingTokens,
      isLong: choice.isLong,
      pairs: Number(choice.totalWork.pairs.toFixed(1)),
      running: endpoint.running,
      pace: Number(endpoint.pace.toFixed(2)),
      events: this.#progress.splitter.eventCount,
    });
  }
}

/** Whether the endpoint certainly did not run the request. */
function isNotRun(kind: OutcomeKind): boolean {
  return kind === OutcomeKind.NotSent || kind === OutcomeKind.NotRun ||
    kind === OutcomeKind.WrongInstance;
}

/** Whether a request may be sent again although it may have run. */
function isRepeatable(call: ForwardedCall, hasBegun: boolean): boolean {
  const { repeatability } = call.route;
  if (isStreamed(call)) {
    return repeatability === Repeatability.ResumableStream;
  }
  return !hasBegun && repeatability === Repeatability.Idempotent;
}
