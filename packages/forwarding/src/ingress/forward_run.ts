/** The way of one request: grants, attempts and its one final answer. */

import { ChildAbort, type Clock, type Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { CrashWatch } from "../beliefs/crash_watch.ts";
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
import { FinalAnswer, RunProgress } from "./final_answer.ts";

/** Sends that did not run are repeated so often beyond the route's attempts. */
const FREE_RESENDS = 3;
/** Names a connection that was refused in the reason of a failure. */
const REFUSED = "ECONNREFUSED";
const LEAST_TIME_FOR_RETRY_MILLISECONDS = 20;

/** What the runs of all requests share. */
export interface ForwardEnvironment {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  transport: EndpointTransport;
  metrics: ForwardingMetrics;
  suspects: SuspectRegistry;
  crashes: CrashWatch;
  /** Among how many VMs bounds are divided. */
  countVms: () => number;
}

/** What the run of one request needs besides. */
export interface ForwardRunOptions {
  call: ForwardedCall;
  answer: CallerAnswer;
  scheduler: ServiceScheduler;
  retries: RetryAllowance;
  /** Learns from each first event. */
  model: PrefillModel;
  configurationVersion: number;
}

/** Serves one request; its caller gets exactly one final answer. */
export class ForwardRun {
  readonly #environment: ForwardEnvironment;
  readonly #options: ForwardRunOptions;
  readonly #progress = new RunProgress();
  readonly #final: FinalAnswer;
  readonly #avoid = new Set<string>();

  constructor(environment: ForwardEnvironment, options: ForwardRunOptions) {
    this.#environment = environment;
    this.#options = options;
    this.#final = new FinalAnswer({
      ...environment,
      ...options,
      progress: this.#progress,
    });
  }

  /** Runs until the answer is sent, the time is over or the caller leaves. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#environment;
    const { call } = this.#options;
    const lifetime = new ChildAbort(signal);
    const timer = setTimeout(
      () => {
        lifetime.abort();
        this.#final.expire();
      },
      Math.max(0, call.endsAt - clock.now()),
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
    retries.countRequest();
    while (!signal.aborted) {
      const verdict = await scheduler.submit(call, this.#avoid, signal);
      if (verdict.refusal !== undefined) {
        this.#final.refuse(verdict.refusal);
        return;
      }
      const outcome = await this.#attempt(verdict.grant, signal);
      if (!this.#mayGoOn(outcome, verdict.grant)) {
        this.#final.conclude(outcome, verdict.grant.endpoint);
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
    const watched = this.#environment.crashes.watch(endpoint.record.id, call);
    this.#progress.sends++;
    const attempt = new AttemptRun({
      ...this.#environment,
      call,
      grant,
      answer,
      events: this.#progress.events,
      onAnswering: () => scheduler.markAnswering(grant),
    });
    const outcome = await attempt.run(signal);
    this.#environment.crashes.settle(watched, outcome.kind);
    this.#noteEndpoint(grant, outcome, sentAt);
    this.#learnPace(grant, outcome);
    scheduler.release(grant);
    this.#logAttempt(grant, outcome);
    return outcome;
  }

  #noteEndpoint(grant: Grant, outcome: AttemptOutcome, sentAt: number): void {
    const { endpoint } = grant;
    const { scheduler } = this.#options;
    switch (outcome.kind) {
      case OutcomeKind.NotSent:
        endpoint.cold.noteUnreachable(outcome.reason.includes(REFUSED));
        return;
      case OutcomeKind.WrongInstance:
        endpoint.isOpen = false;
        return;
      case OutcomeKind.Stopped:
        return;
      case OutcomeKind.Answered:
      case OutcomeKind.NotRun:
      case OutcomeKind.Failed:
        endpoint.cold.markAnswer(sentAt, scheduler.coldBound);
        break;
      case OutcomeKind.Broken:
      case OutcomeKind.StreamBroken:
        break;
    }
    endpoint.recordOutcome(outcome.kind !== OutcomeKind.Answered);
  }

  #learnPace(grant: Grant, outcome: AttemptOutcome): void {
    const { choice, endpoint } = grant;
    const { firstMilliseconds } = outcome;
    const isTelling = firstMilliseconds !== undefined &&
      this.#options.call.identity.prompt !== undefined &&
      outcome.kind !== OutcomeKind.Failed;
    if (!isTelling) {
      return;
    }
    this.#options.scheduler.recordPause(grant, {
      longestMilliseconds: outcome.longestPauseMilliseconds,
      allowedMilliseconds: this.#options.call.route.pauseMilliseconds,
    });
    this.#options.model.learn(choice.totalWork, firstMilliseconds);
    endpoint.recordPace(
      firstMilliseconds * endpoint.pace /
        Math.max(1, choice.predictedMilliseconds),
    );
  }

  /** Whether another attempt may be made; takes it from the budget. */
  #mayGoOn(outcome: AttemptOutcome, grant: Grant): boolean {
    const { call, answer } = this.#options;
    if (!this.#countRun(outcome)) {
      return false;
    }
    this.#avoid.add(grant.endpoint.record.id);
    const { clock, countVms, suspects } = this.#environment;
    const left = call.endsAt - clock.now();
    const repeatable = isRepeatable(call, answer.hasBegun);
    const mayRepeat = isNotRun(outcome.kind) ||
      (repeatable && this.#progress.runs < call.route.attempts);
    const isSuspect = suspects.isQuarantined(call.fingerprint);
    if (!mayRepeat || isSuspect || left < LEAST_TIME_FOR_RETRY_MILLISECONDS) {
      return false;
    }
    if (this.#progress.sends >= call.route.attempts + FREE_RESENDS) {
      return false;
    }
    if (outcome.kind === OutcomeKind.NotSent) {
      return true;
    }
    return this.#options.retries.take(countVms());
  }

  /** Returns whether the outcome leaves anything to be done. */
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
      events: this.#progress.events.events,
    });
  }
}

function isNotRun(kind: OutcomeKind): boolean {
  return kind === OutcomeKind.NotSent || kind === OutcomeKind.NotRun ||
    kind === OutcomeKind.WrongInstance;
}

function isRepeatable(call: ForwardedCall, hasBegun: boolean): boolean {
  const { repeatability } = call.route;
  if (isStreamed(call)) {
    return repeatability === Repeatability.ResumableStream;
  }
  return !hasBegun && repeatability === Repeatability.Idempotent;
}
