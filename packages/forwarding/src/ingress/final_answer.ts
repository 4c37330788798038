/** The one final answer of a request. */

import type { Clock, Logger } from "@rattanvane/base";
import {
  FinalResult,
  type ForwardingMetrics,
} from "../metrics/forwarding_metrics.ts";
import {
  type AttemptOutcome,
  OutcomeKind,
  type WholeAnswer,
} from "../model/attempt_outcome.ts";
import { computeCost, type ForwardedCall } from "../model/call.ts";
import type { EndpointState } from "../scheduling/endpoint_state.ts";
import { type Refusal, RefusalKind } from "../scheduling/service_scheduler.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { EventSplitter } from "./event_splitter.ts";

const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
const STATUS_TIMEOUT = 504;
const RETRY_AFTER_FAILURE_MILLISECONDS = 250;

/** How far a request has come. */
export class RunProgress {
  readonly events = new EventSplitter();
  /** The endpoint's own failure, in case no attempt does better. */
  failure: WholeAnswer | undefined;
  /** Attempts that may have run. */
  runs = 0;
  sends = 0;
}

/** What the answer is given with. */
export interface FinalAnswerOptions {
  clock: Clock;
  logger: Logger;
  metrics: ForwardingMetrics;
  call: ForwardedCall;
  answer: CallerAnswer;
  progress: RunProgress;
  configurationVersion: number;
}

/** Says to the caller, the log and the metrics what became of a request. */
export class FinalAnswer {
  readonly #options: FinalAnswerOptions;

  constructor(options: FinalAnswerOptions) {
    this.#options = options;
  }

  /** Answers with what the last attempt came to. */
  conclude(outcome: AttemptOutcome, endpoint: EndpointState): void {
    const { answer } = this.#options;
    if (outcome.kind === OutcomeKind.Stopped) {
      return;
    }
    if (answer.hasBegun) {
      this.#concludeStream(outcome);
      return;
    }
    const whole = outcome.answer ?? this.#options.progress.failure;
    if (whole !== undefined) {
      answer.sendWhole(whole);
      this.#tell(FinalResult.Answered, { status: whole.status });
      return;
    }
    if (this.#options.progress.runs === 0) {
      answer.sendOwn({
        status: STATUS_UNAVAILABLE,
        reason: "The request has not run; come back later",
        retryAfterMilliseconds: RETRY_AFTER_FAILURE_MILLISECONDS,
      });
      this.#tell(FinalResult.NotRun, { status: STATUS_UNAVAILABLE });
      return;
    }
    answer.sendOwn({
      status: STATUS_BAD_GATEWAY,
      reason: "The endpoint gave no whole answer; the request may have run",
    });
    this.#tell(FinalResult.Unknown, {
      status: STATUS_BAD_GATEWAY,
      endpoint: endpoint.record.id,
      reason: outcome.reason,
    });
  }

  #concludeStream(outcome: AttemptOutcome): void {
    if (outcome.kind === OutcomeKind.Answered && outcome.answer === undefined) {
      this.#tell(FinalResult.Answered, {
        events: this.#options.progress.events.events,
      });
      return;
    }
    this.#options.answer.cut();
    this.#tell(FinalResult.StreamCut, {
      events: this.#options.progress.events.events,
      reason: outcome.reason,
    });
  }

  /** Answers a request that gets no endpoint. */
  refuse(refusal: Refusal): void {
    const { answer } = this.#options;
    if (refusal.kind === RefusalKind.Abandoned) {
      return;
    }
    this.#tell(FinalResult.Refused, {
      reason: refusal.kind,
      waitedMilliseconds: Math.round(refusal.waitedMilliseconds),
      retryAfterMilliseconds: Math.round(refusal.retryAfterMilliseconds),
      runs: this.#options.progress.runs,
    });
    if (answer.hasBegun) {
      answer.cut();
      return;
    }
    if (this.#options.progress.failure !== undefined) {
      answer.sendWhole(this.#options.progress.failure);
      return;
    }
    if (this.#options.progress.runs > 0) {
      answer.sendOwn({
        status: STATUS_BAD_GATEWAY,
        reason: "No endpoint is left to repeat the request; it may have run",
      });
      return;
    }
    answer.sendOwn({
      status: STATUS_UNAVAILABLE,
      reason: `The request has not run: ${refusal.kind}`,
      retryAfterMilliseconds: refusal.retryAfterMilliseconds,
    });
  }

  /** Answers when the time is over. */
  expire(): void {
    const { answer } = this.#options;
    const { sends } = this.#options.progress;
    if (answer.isOver) {
      return;
    }
    this.#tell(FinalResult.TimedOut, { sends });
    if (answer.hasBegun) {
      answer.cut();
      return;
    }
    if (this.#options.progress.failure !== undefined) {
      answer.sendWhole(this.#options.progress.failure);
      return;
    }
    answer.sendOwn({
      status: sends === 0 ? STATUS_UNAVAILABLE : STATUS_TIMEOUT,
      reason: sends === 0
        ? "The request has not run; its time is over"
        : "The time is over; the request may have run",
    });
  }

  #tell(
    result: FinalResult,
    fields: Record<string, string | number | undefined>,
  ): void {
    const { call, configurationVersion } = this.#options;
    const { clock, logger, metrics } = this.#options;
    const milliseconds = clock.now() - call.receivedAt;
    metrics.recordResult(call, { result, milliseconds });
    logger.info("a request ended", {
      request: call.identity.request,
      route: call.route.name,
      service: call.service,
      organisation: call.organisation,
      result,
      milliseconds: Math.round(milliseconds),
      configurationVersion,
      cost: computeCost(call),
      ...fields,
    });
  }
}
