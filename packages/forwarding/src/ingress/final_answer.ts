/** Sends and records the final answer of a request. */

import type { Clock, Logger } from "@rattanvane/base";
import {
  FinalResult,
  type ForwardingMetrics,
} from "../metrics/forwarding_metrics.ts";
import {
  type AttemptOutcome,
  type CompleteAnswer,
  OutcomeKind,
} from "../model/attempt_outcome.ts";
import { computeCost, type ForwardedCall } from "../model/call.ts";
import type { GrantedEndpoint } from "../admission/admission.ts";
import { type Refusal, RefusalKind } from "../scheduling/refusal.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { EventSplitter } from "./event_splitter.ts";

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_TIMEOUT = 504;
const RETRY_AFTER_FAILURE_MILLISECONDS = 250;

/** The progress of one request over all of its attempts. */
export class RequestProgress {
  /** That of the attempt which answers the caller. */
  splitter = new EventSplitter();
  /** The last error answer of an endpoint; sent when no attempt succeeds. */
  failure: CompleteAnswer | undefined;
  /** Attempts that an endpoint has run or may have run. */
  runs = 0;
  /** All attempts, including those that did not run. */
  sends = 0;
}

/** The request, its progress and the dependencies of a final answer. */
export interface FinalAnswerOptions {
  clock: Clock;
  logger: Logger;
  metrics: ForwardingMetrics;
  call: ForwardedCall;
  answer: CallerAnswer;
  progress: RequestProgress;
  configurationVersion: number;
}

/** Reports the result of a request to the caller, the log and the metrics. */
export class FinalAnswer {
  readonly #options: FinalAnswerOptions;

  constructor(options: FinalAnswerOptions) {
    this.#options = options;
  }

  /** Answers with the outcome of the last attempt. */
  conclude(outcome: AttemptOutcome, endpoint: GrantedEndpoint): void {
    const { answer } = this.#options;
    if (outcome.kind === OutcomeKind.Stopped) {
      return;
    }
    if (answer.hasBegun) {
      this.#concludeStream(outcome);
      return;
    }
    const endpointAnswer = outcome.answer ?? this.#options.progress.failure;
    if (endpointAnswer !== undefined) {
      answer.sendWhole(endpointAnswer);
      this.#recordResult(FinalResult.Answered, {
        status: endpointAnswer.status,
      });
      return;
    }
    if (this.#options.progress.runs === 0) {
      answer.sendLocal({
        status: STATUS_UNAVAILABLE,
        reason: "The request has not run; come back later",
        retryAfterMilliseconds: RETRY_AFTER_FAILURE_MILLISECONDS,
      });
      this.#recordResult(FinalResult.NotRun, { status: STATUS_UNAVAILABLE });
      return;
    }
    answer.sendLocal({
      status: STATUS_BAD_GATEWAY,
      reason: "The endpoint gave no whole answer; the request may have run",
    });
    this.#recordResult(FinalResult.Unknown, {
      status: STATUS_BAD_GATEWAY,
      endpoint: endpoint.id,
      reason: outcome.reason,
    });
  }

  #concludeStream(outcome: AttemptOutcome): void {
    if (outcome.kind === OutcomeKind.Answered && outcome.answer === undefined) {
      this.#recordResult(FinalResult.Answered, {
        events: this.#options.progress.splitter.eventCount,
      });
      return;
    }
    this.#options.answer.abortStream();
    this.#recordResult(FinalResult.StreamCut, {
      events: this.#options.progress.splitter.eventCount,
      reason: outcome.reason,
    });
  }

  /** Answers a request that the scheduler refused. */
  refuse(refusal: Refusal): void {
    const { answer } = this.#options;
    if (refusal.kind === RefusalKind.Abandoned) {
      return;
    }
    this.#recordResult(FinalResult.Refused, {
      reason: refusal.kind,
      waitedMilliseconds: Math.round(refusal.waitedMilliseconds),
      retryAfterMilliseconds: Math.round(refusal.retryAfterMilliseconds),
      runs: this.#options.progress.runs,
      usage: refusal.cause?.usage,
      limits: refusal.cause?.limits,
    });
    if (answer.hasBegun) {
      answer.abortStream();
      return;
    }
    if (this.#options.progress.failure !== undefined) {
      answer.sendWhole(this.#options.progress.failure);
      return;
    }
    if (this.#options.progress.runs > 0) {
      answer.sendLocal({
        status: STATUS_BAD_GATEWAY,
        reason: "No endpoint is left to repeat the request; it may have run",
      });
      return;
    }
    answer.sendLocal({
      status: STATUS_UNAVAILABLE,
      reason: describeRefusal(refusal.kind),
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
  }

  /** Answers a request whose deadline has passed. */
  expire(): void {
    const { answer } = this.#options;
    const { sends } = this.#options.progress;
    if (answer.isFinished) {
      return;
    }
    this.#recordResult(FinalResult.TimedOut, { sends });
    if (answer.hasBegun) {
      answer.abortStream();
      return;
    }
    if (this.#options.progress.failure !== undefined) {
      answer.sendWhole(this.#options.progress.failure);
      return;
    }
    answer.sendLocal({
      status: sends === 0 ? STATUS_UNAVAILABLE : STATUS_TIMEOUT,
      reason: sends === 0
        ? "The request has not run; its time is over"
        : "The time is over; the request may have run",
    });
  }

  #recordResult(
    result: FinalResult,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { call, configurationVersion } = this.#options;
    const { clock, logger, metrics } = this.#options;
    const milliseconds = clock.now() - call.receivedAt;
    const size = metrics.recordResult(call, { result, milliseconds });
    logger.info("a request ended", {
      request: call.identity.request,
      route: call.route.name,
      service: call.service,
      organisation: call.organisation,
      result,
      milliseconds: Math.round(milliseconds),
      configurationVersion,
      cost: computeCost(call),
      size,
      ...fields,
    });
  }
}

function describeRefusal(kind: RefusalKind): string {
  return kind === RefusalKind.Quarantined
    ? "The request was running when endpoints crashed"
    : `The request has not run: ${kind}`;
}
