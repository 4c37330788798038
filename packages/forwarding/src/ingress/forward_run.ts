/** Forwards one request: waits for grants, makes attempts and answers once. */

import type { Clock, Logger } from "@rattanvane/base";
import type { ServiceId } from "@rattanvane/protocol";
import {
  type Admission,
  type AttemptGrant,
  UNUSED_REPORT,
} from "../admission/admission.ts";
import {
  AnswerFraming,
  type AttemptOutcome,
  OutcomeKind,
} from "../model/attempt_outcome.ts";
import type { ForwardedCall } from "../model/call.ts";
import type { Dialect } from "../model/dialect.ts";
import { Repeatability } from "../model/route.ts";
import type { ForwardingMetrics } from "../metrics/forwarding_metrics.ts";
import type { EndpointPauses } from "../scheduling/endpoint_pauses.ts";
import type { RetryAllowance } from "../scheduling/retry_allowance.ts";
import { type Refusal, RefusalKind } from "../scheduling/refusal.ts";
import type { EndpointDirectory } from "../state/endpoint_directory.ts";
import type { EndpointLimits } from "../state/endpoint_limits.ts";
import type { AnswerMemory } from "./answer_memory.ts";
import { AttemptRun, isStreamed } from "./attempt_run.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { EndpointTransport } from "./endpoint_transport.ts";
import { EventSplitter } from "./event_splitter.ts";
import { PendingReport } from "./pending_report.ts";
import { FinalAnswer, RequestProgress } from "./final_answer.ts";
import {
  type FinishedAttempt,
  HedgedRace,
  type RaceLane,
} from "./hedging/hedged_race.ts";
import {
  HedgeObstacle,
  type HedgePolicy,
  HedgeResult,
  type SlowRequest,
} from "./hedging/hedge_policy.ts";
import type { RunDurations } from "./run_durations.ts";

/** Sends beyond the route's attempts, to make up for those that did not run. */
const MAX_EXTRA_SENDS = 3;
/** Part of a failure's reason when the endpoint refused the connection. */
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";
const MIN_TIME_FOR_RETRY_MILLISECONDS = 20;
/** The caller's next connection reaches another VM. */
const SHUTDOWN_RETRY_AFTER_MILLISECONDS = 50;
/** A common reason, since creating one for each request takes time. */
const EXPIRED_REASON = new Error("The deadline of the request has passed");

/** The dependencies that all requests share. */
export interface ForwardEnvironment {
  clock: Clock;
  logger: Logger;
  dialect: Dialect;
  transport: EndpointTransport;
  memory: AnswerMemory;
  metrics: ForwardingMetrics;
  /** Whether a roll-out moves a service to another version, or has done so. */
  hasVersions?: (service: ServiceId) => boolean;
  admission: Admission;
  directory: EndpointDirectory;
  limits: EndpointLimits;
  pauses: EndpointPauses;
  durations: RunDurations;
  /** Undefined if slow requests get no second attempt. */
  hedging: HedgePolicy | undefined;
  /** Whether a request that begins now is expected to end before this VM does. */
  mayFinish: (call: ForwardedCall) => boolean;
  /** The number of VMs that share the bounds of the fleet. */
  countVms: () => number;
}

/** One request and the dependencies specific to its service. */
export interface ForwardRunOptions {
  call: ForwardedCall;
  answer: CallerAnswer;
  retries: RetryAllowance;
  configurationVersion: number;
}

/** Serves one request; the caller gets exactly one final answer. */
export class ForwardRun {
  readonly #environment: ForwardEnvironment;
  readonly #options: ForwardRunOptions;
  readonly #progress = new RequestProgress();
  readonly #finalAnswer: FinalAnswer;
  readonly #avoidedEndpoints = new Set<string>();
  /** Endpoints that refused a request which must not be repeated. */
  readonly #refusingEndpoints = new Set<string>();

  constructor(environment: ForwardEnvironment, options: ForwardRunOptions) {
    this.#environment = environment;
    this.#options = options;
    this.#finalAnswer = new FinalAnswer({
      ...environment,
      ...options,
      progress: this.#progress,
    });
  }

  /**
   * Runs until the answer is sent or the lifetime ends, which it does when the
   * deadline passes.
   */
  async run(lifetime: AbortController): Promise<void> {
    const { clock } = this.#environment;
    const { call } = this.#options;
    const timer = setTimeout(
      () => {
        lifetime.abort(EXPIRED_REASON);
        this.#finalAnswer.expire();
      },
      Math.max(0, call.deadlineAt - clock.now()),
    );
    try {
      await this.#serve(lifetime.signal);
    } finally {
      clearTimeout(timer);
    }
  }

  async #serve(signal: AbortSignal): Promise<void> {
    const { call, retries } = this.#options;
    const { admission, hedging } = this.#environment;
    retries.recordRequest();
    hedging?.recordRequest();
    while (!signal.aborted) {
      const { refusal, grant } = await admission.submit({
        call,
        avoid: this.#avoidedEndpoints,
        excluded: this.#listExcludedEndpoints(),
        isRepeated: this.#progress.sends > 0,
      }, signal);
      if (refusal !== undefined) {
        this.#finalAnswer.refuse(this.#extendRetryAfter(refusal));
        return;
      }
      const isFirstRun = this.#progress.runs === 0;
      if (isFirstRun && !this.#environment.mayFinish(call)) {
        grant.recordEnd(UNUSED_REPORT);
        this.#finalAnswer.refuse({
          kind: RefusalKind.ShuttingDown,
          retryAfterMilliseconds: SHUTDOWN_RETRY_AFTER_MILLISECONDS,
          waitedMilliseconds: grant.forecast.waitedMilliseconds,
        });
        return;
      }
      const finished = await this.#attempt(grant, signal);
      if (!this.#mayRetry(finished)) {
        this.#finalAnswer.conclude(finished.outcome, finished.grant.endpoint);
        return;
      }
    }
  }

  /**
   * An endpoint may write a refusal twice. On the next send of the same request
   * to it, the second copy could not be told from the answer.
   */
  #listExcludedEndpoints(): ReadonlySet<string> {
    const paused = this.#environment.pauses.endpoints;
    return this.#refusingEndpoints.size === 0
      ? paused
      : new Set([...paused, ...this.#refusingEndpoints]);
  }

  /** A caller that is turned away for paused endpoints waits for the first. */
  #extendRetryAfter(refusal: Refusal): Refusal {
    if (refusal.kind !== RefusalKind.NoEndpoint) {
      return refusal;
    }
    const { pauses } = this.#environment;
    const pause = pauses.computeRemaining(this.#options.call.service);
    const retryAfterMilliseconds = Math.max(
      refusal.retryAfterMilliseconds,
      pause,
    );
    return { ...refusal, retryAfterMilliseconds };
  }

  /** Runs an attempt, and a second one beside it if that is slow. */
  async #attempt(
    grant: AttemptGrant,
    signal: AbortSignal,
  ): Promise<FinishedAttempt> {
    const { call, answer } = this.#options;
    const { clock, hedging } = this.#environment;
    const delayMilliseconds = !answer.hasBegun && hedging?.mayHedge(call)
      ? grant.forecast.slowMilliseconds
      : undefined;
    if (delayMilliseconds === undefined) {
      const outcome = await this.#runAttempt(grant, { signal });
      return { grant, outcome };
    }
    const race = new HedgedRace({
      clock,
      delayMilliseconds,
      runAttempt: (lane) => this.#runAttempt(lane.grant, lane),
      findHedge: ({ isAnswering }, wait) =>
        this.#findHedge({ first: grant, isAnswering }, wait),
      onFailure: (failed) => this.#countFailure(failed),
      onCancelled: (lane) => this.#countCancelled(lane),
    });
    return await race.run(grant, signal);
  }

  /** Finds an endpoint for a second attempt that runs beside the first one. */
  async #findHedge(
    { first, isAnswering }: {
      first: AttemptGrant;
      isAnswering: () => boolean;
    },
    signal: AbortSignal,
  ): Promise<AttemptGrant | undefined> {
    const { call, retries } = this.#options;
    const { admission, countVms, hedging, metrics } = this.#environment;
    const describeRequest = (): SlowRequest => ({
      call,
      isAnswering: isAnswering(),
      runs: this.#progress.runs + 1,
      retries,
      vms: countVms(),
    });
    const obstacle = hedging?.findObstacle(describeRequest());
    if (obstacle !== undefined) {
      metrics.recordHedge(call, obstacle);
      return undefined;
    }
    const { grant } = await admission.submit({
      call,
      avoid: this.#avoidedEndpoints,
      excluded: new Set([...this.#listExcludedEndpoints(), first.endpoint.id]),
      isRepeated: true,
      isHedge: true,
    }, signal);
    if (grant === undefined) {
      metrics.recordHedge(call, HedgeObstacle.NoRoom);
      return undefined;
    }
    const lateObstacle = hedging?.take(describeRequest());
    if (lateObstacle !== undefined) {
      metrics.recordHedge(call, lateObstacle);
      grant.recordEnd(UNUSED_REPORT);
      return undefined;
    }
    metrics.recordHedge(call, HedgeResult.Sent);
    return grant;
  }

  /** Counts an attempt that failed while another one goes on. */
  #countFailure({ grant, outcome }: FinishedAttempt): void {
    if (this.#countRun(outcome)) {
      this.#avoidedEndpoints.add(grant.endpoint.id);
    }
  }

  /** Counts an attempt that was cancelled since another one answered. */
  #countCancelled({ isHedge }: RaceLane): void {
    const result = isHedge ? HedgeResult.Cancelled : HedgeResult.Won;
    this.#progress.runs++;
    this.#environment.metrics.recordHedge(this.#options.call, result);
  }

  async #runAttempt(
    grant: AttemptGrant,
    { signal, isHedge = false, recordAnswerStart, claimAnswer }:
      & Pick<RaceLane, "signal">
      & Partial<RaceLane>,
  ): Promise<AttemptOutcome> {
    const { call, answer } = this.#options;
    const { clock, directory, limits, pauses } = this.#environment;
    const endpoint = grant.endpoint.id;
    const startedAtUnixMilliseconds = directory.find(endpoint)
      ?.startedAtUnixMilliseconds;
    this.#progress.sends++;
    const splitter = isHedge ? new EventSplitter() : this.#progress.splitter;
    const report = new PendingReport(clock);
    const attempt = new AttemptRun({
      ...this.#environment,
      call,
      endpoint: grant.endpoint,
      answer,
      splitter,
      mayStart: () => !directory.isClosed(endpoint),
      onAnswering: () => {
        grant.recordAnswerStart(report.take());
        recordAnswerStart?.();
      },
      ...(claimAnswer === undefined ? {} : {
        claimAnswer: () => {
          const isClaimed = claimAnswer();
          if (isClaimed) {
            this.#progress.splitter = splitter;
          }
          return isClaimed;
        },
      }),
      onFraming: (framing) => this.#logUnframed(grant, framing),
      onLeaving: () =>
        directory.recordDeparture({ endpoint, startedAtUnixMilliseconds }),
      onLimit: (requestsPerSecond) =>
        limits.record({
          endpoint,
          startedAtUnixMilliseconds,
          requestsPerSecond,
          ageMilliseconds: 0,
        }),
      onLoad: (load) => report.record(load),
      onPaused: (milliseconds) =>
        pauses.record({ endpoint, service: call.service, milliseconds }),
    });
    const outcome = await attempt.run(signal);
    const unsentReport = report.take();
    grant.recordEnd({
      kind: outcome.kind,
      isConnectionRefused: outcome.reason.includes(CONNECTION_REFUSED_CODE),
      firstMilliseconds: outcome.firstMilliseconds,
      longestPauseMilliseconds: outcome.longestPauseMilliseconds,
      ...(unsentReport === undefined ? {} : { report: unsentReport }),
    });
    this.#logAttempt(grant, { outcome, isHedge });
    if (outcome.kind === OutcomeKind.Answered) {
      this.#environment.durations.record(
        call.route.name,
        outcome.durationMilliseconds,
      );
    }
    return outcome;
  }

  /**
   * Whether another attempt may be made. Counts it against the retry budget,
   * unless nothing was sent.
   */
  #mayRetry({ outcome, grant }: FinishedAttempt): boolean {
    const { call, answer } = this.#options;
    if (!this.#countRun(outcome)) {
      return false;
    }
    this.#avoidedEndpoints.add(grant.endpoint.id);
    if (outcome.kind === OutcomeKind.NotRun && isRunOnce(call)) {
      this.#refusingEndpoints.add(grant.endpoint.id);
    }
    const { clock, countVms } = this.#environment;
    const remaining = call.deadlineAt - clock.now();
    const repeatable = isRepeatable(call, answer.hasBegun);
    const mayRepeat = isNotRun(outcome.kind) ||
      (repeatable && this.#progress.runs < call.route.attempts);
    if (!mayRepeat || remaining < MIN_TIME_FOR_RETRY_MILLISECONDS) {
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

  /** A VM that is killed logs nothing of the answers that it cuts. */
  #logUnframed({ endpoint }: AttemptGrant, framing: AnswerFraming): void {
    const { call } = this.#options;
    if (framing === AnswerFraming.Connection) {
      this.#environment.logger.info("an answer without a length began", {
        request: call.identity.request,
        service: call.service,
        organisation: call.organisation,
        endpoint: endpoint.id,
        zone: endpoint.zone,
      });
    }
  }

  #logAttempt(
    grant: AttemptGrant,
    { outcome, isHedge }: { outcome: AttemptOutcome; isHedge: boolean },
  ): void {
    const { call } = this.#options;
    const { endpoint, forecast } = grant;
    const { metrics, directory } = this.#environment;
    const record = directory.find(endpoint.id);
    const phase = record?.phase;
    const version = this.#environment.hasVersions?.(call.service) === true
      ? record?.version
      : undefined;
    metrics.recordAttempt(call, outcome);
    if (call.origin !== undefined && call.origin.zone !== endpoint.zone) {
      metrics.recordOtherZoneAttempt(call);
    }
    if (version !== undefined) {
      metrics.recordVersionAttempt(call, { version, outcome: outcome.kind });
    }
    if (outcome.isLeaving) {
      metrics.recordLeavingResponse(call, phase);
    }
    this.#environment.logger.info("an attempt ended", {
      request: call.identity.request,
      service: call.service,
      organisation: call.organisation,
      endpoint: endpoint.id,
      zone: endpoint.zone,
      phase,
      version,
      isLeaving: outcome.isLeaving,
      framing: outcome.framing,
      outcome: outcome.kind,
      isHedge: isHedge || undefined,
      reason: outcome.reason,
      waitedMilliseconds: Math.round(forecast.waitedMilliseconds),
      predictedMilliseconds: Math.round(forecast.predictedMilliseconds),
      firstMilliseconds: Math.round(outcome.firstMilliseconds ?? -1),
      longestPauseMilliseconds: Math.round(outcome.longestPauseMilliseconds),
      pauseAt: Math.round(outcome.pauseAt),
      durationMilliseconds: Math.round(outcome.durationMilliseconds),
      ownTokens: forecast.ownTokens,
      aheadTokens: forecast.aheadTokens,
      missingTokens: forecast.missingTokens,
      isLong: forecast.isLong,
      running: forecast.running,
      events: this.#progress.splitter.eventCount,
    });
  }
}

/** Whether the endpoint certainly did not run the request. */
function isNotRun(kind: OutcomeKind): boolean {
  return kind === OutcomeKind.NotSent || kind === OutcomeKind.NotRun ||
    kind === OutcomeKind.WrongInstance;
}

/** Whether a request must not run more than once, whatever its answers. */
function isRunOnce({ route: { repeatability } }: ForwardedCall): boolean {
  return repeatability === Repeatability.Once ||
    repeatability === Repeatability.Stream;
}

/** Whether a request may be sent again although it may have run. */
function isRepeatable(call: ForwardedCall, hasBegun: boolean): boolean {
  const { repeatability } = call.route;
  if (isStreamed(call)) {
    return repeatability === Repeatability.ResumableStream;
  }
  return !hasBegun && repeatability === Repeatability.Idempotent;
}
