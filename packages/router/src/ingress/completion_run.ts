/** Runs a completion until the caller has the whole answer. */

import {
  EndpointError,
  EndpointErrorKind,
  type EndpointResponse,
  readStreamEvents,
  type StreamEvent,
} from "@rattanvane/platform";
import { AttemptOutcome, MessageKind } from "@rattanvane/protocol";
import { CallerError, CallerErrorKind } from "../caller/caller_error.ts";
import { Attempt } from "./attempt.ts";
import type { AttemptEnvironment } from "./attempt_environment.ts";
import { convertBodyError, isNotRun } from "./attempt_outcome.ts";
import { parseChunk, type Usage } from "./completion_chunk.ts";
import {
  COMPLETION_PATHS,
  type CompletionRequest,
  encodeEngineBody,
} from "./completion_request.ts";
import type { CompletionSink } from "./completion_sink.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import {
  computeOutcome,
  convertEndpointError,
  convertRefusal,
} from "./refusal.ts";
import { encodeTicket } from "./stream_ticket.ts";

const OK = 200;
const LOWEST_SERVER_ERROR = 500;
const DEFAULT_FINISH_REASON = "stop";
const ERROR_BODY_BYTES = 2_048;
const REQUEST_HEADERS = [
  { name: "content-type", value: "application/json" },
  { name: "accept", value: "text/event-stream" },
];

/** What a completion run is made of. */
export interface CompletionRunOptions {
  environment: AttemptEnvironment;
  entry: LedgerEntry;
  request: CompletionRequest;
  sink: CompletionSink;
}

/** An engine answered, but refused the request for good. */
class RejectedByEngine extends Error {}

/** One completion, over as many attempts as it takes. */
export class CompletionRun {
  readonly #options: CompletionRunOptions;
  #delivered = "";
  #offset = 0;
  #finishReason: string | undefined;
  #usage: Usage | undefined;

  constructor(options: CompletionRunOptions) {
    this.#options = options;
  }

  /** Answers the caller; the signal aborts when the caller is gone. */
  async run(signal: AbortSignal): Promise<void> {
    const { environment, entry } = this.#options;
    environment.retries.countRequest(entry.call);
    for (;;) {
      const answer = await environment.dispatcher.waitForGrant(entry, signal);
      if (answer.kind === MessageKind.Refuse) {
        await this.#fail(convertRefusal(answer, entry));
        return;
      }
      const error = await this.#runAttempt(signal);
      if (error === undefined) {
        return;
      }
      if (!await this.#waitBeforeRetry(error, signal)) {
        await this.#fail(convertEndpointError(error, entry));
        return;
      }
    }
  }

  /** Goes on with a stream that another VM began, from its offset. */
  async runResumed(offset: number, signal: AbortSignal): Promise<void> {
    const { environment, entry } = this.#options;
    this.#offset = offset;
    const attempt = new Attempt(environment, entry);
    this.#startAttempt(attempt);
    const error = await this.#resumeUntilEnd(attempt, signal);
    if (error !== undefined) {
      await attempt.stopWithError(error);
      await this.#fail(
        new CallerError(
          CallerErrorKind.StreamGone,
          "The engine no longer holds the stream",
          { outcome: computeOutcome(entry) },
        ),
      );
      return;
    }
    await this.#complete(attempt);
  }

  /** Returns the error that calls for a retry; undefined when answered. */
  async #runAttempt(signal: AbortSignal): Promise<EndpointError | undefined> {
    const { environment, entry, request } = this.#options;
    const attempt = new Attempt(environment, entry);
    const opened = await attempt.send({
      method: "POST",
      path: COMPLETION_PATHS[request.form],
      headers: REQUEST_HEADERS,
      body: encodeEngineBody(request, this.#delivered),
    }, signal);
    if (opened.isErr()) {
      await attempt.stopWithError(opened.error);
      return opened.error;
    }
    try {
      await this.#checkStatus(opened.value);
    } catch (thrown) {
      return await this.#handleBadStatus(attempt, thrown);
    }
    this.#startAttempt(attempt);
    let error = await this.#relay(opened.value, attempt);
    if (error !== undefined && !signal.aborted) {
      error = await this.#resumeUntilEnd(attempt, signal);
    }
    if (signal.aborted && error !== undefined) {
      return await this.#abandon(attempt);
    }
    if (error !== undefined) {
      await attempt.stopWithError(error);
      return error;
    }
    await this.#complete(attempt);
    return undefined;
  }

  #startAttempt(attempt: Attempt): void {
    const { environment, entry, request, sink } = this.#options;
    const ticket = encodeTicket({
      request: entry.call.request,
      attempt: attempt.current.attempt,
      endpoint: attempt.current.endpoint,
      organisation: entry.call.organisation.name,
      form: request.form,
    }, environment.fleetKeys[0] ?? "");
    sink.startAttempt(ticket);
  }

  /** The caller is gone: frees the engine's slot and the scheduler's. */
  async #abandon(attempt: Attempt): Promise<undefined> {
    // First the engine's slot: the scheduler would fill it at once.
    await attempt.cancel(new AbortController().signal);
    attempt.finish(AttemptOutcome.Cancelled);
    return undefined;
  }

  async #complete(attempt: Attempt): Promise<void> {
    const usage = this.#buildUsage();
    attempt.updateCost(usage.promptTokens + usage.completionTokens);
    attempt.finish(AttemptOutcome.Completed);
    const finishReason = this.#finishReason ?? DEFAULT_FINISH_REASON;
    await this.#options.sink.finish(finishReason, usage);
  }

  /** Passes the events on; returns the error that broke the stream. */
  async #relay(
    response: EndpointResponse,
    attempt: Attempt,
  ): Promise<EndpointError | undefined> {
    const events = readStreamEvents(response.body);
    try {
      for await (const event of events) {
        await this.#handleEvent(event, attempt);
      }
    } catch (thrown) {
      return convertBodyError(thrown);
    }
    if (events.complete && this.#finishReason !== undefined) {
      return undefined;
    }
    return new EndpointError(
      EndpointErrorKind.Lost,
      "The engine's stream ended without its end mark",
    );
  }

  async #handleEvent(event: StreamEvent, attempt: Attempt): Promise<void> {
    const chunk = parseChunk(event.data);
    this.#finishReason = chunk.finishReason ?? this.#finishReason;
    this.#usage = chunk.usage ?? this.#usage;
    if (chunk.text === "") {
      return;
    }
    if (event.offset <= this.#offset) {
      this.#logDropped(event, attempt);
      return;
    }
    attempt.markFirstByte();
    this.#offset = event.offset;
    this.#delivered += chunk.text;
    attempt.updateCost(this.#options.request.promptTokens + this.#offset);
    await this.#options.sink.writeText(chunk.text, event.offset);
  }

  /** Resumes the engine's stream as long as that brings it forward. */
  async #resumeUntilEnd(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<EndpointError | undefined> {
    for (;;) {
      const before = this.#offset;
      const resumed = await attempt.resume(before, signal);
      if (resumed.isErr()) {
        return resumed.error;
      }
      if (resumed.value.status !== OK) {
        return new EndpointError(
          EndpointErrorKind.Lost,
          "The engine no longer holds the stream",
        );
      }
      const error = await this.#relay(resumed.value, attempt);
      if (error === undefined || this.#offset === before || signal.aborted) {
        return error;
      }
    }
  }

  async #checkStatus(response: EndpointResponse): Promise<void> {
    if (response.status === OK) {
      return;
    }
    const text = await readStart(response);
    if (response.status >= LOWEST_SERVER_ERROR) {
      throw new EndpointError(
        EndpointErrorKind.Lost,
        `The engine answered ${response.status}: ${text}`,
      );
    }
    throw new RejectedByEngine(`The engine refused the request: ${text}`);
  }

  async #handleBadStatus(
    attempt: Attempt,
    thrown: unknown,
  ): Promise<EndpointError | undefined> {
    if (!(thrown instanceof RejectedByEngine)) {
      const error = convertBodyError(thrown);
      await attempt.stopWithError(error);
      return error;
    }
    attempt.finish(AttemptOutcome.Completed);
    await this.#fail(
      new CallerError(CallerErrorKind.MalformedBody, thrown.message, {
        outcome: computeOutcome(this.#options.entry),
      }),
    );
    return undefined;
  }

  /** Ends the answer with an error, which counts as one the caller was given. */
  async #fail(error: CallerError): Promise<void> {
    const { environment, sink } = this.#options;
    environment.metrics.callerErrors.inc({ kind: error.kind });
    await sink.fail(error);
  }

  /** False when the retry budget, the deadline or the caller forbids it. */
  async #waitBeforeRetry(
    error: EndpointError,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, retries, logger, metrics } = this.#options.environment;
    const { call, attemptsMade } = this.#options.entry;
    if (signal.aborted) {
      return false;
    }
    // What was not run put no load on an endpoint, so it costs no budget.
    if (!isNotRun(error) && !retries.takeRetry(call)) {
      return false;
    }
    const delay = retries.computeDelay(attemptsMade);
    metrics.retries.inc({ service: call.service.name, reason: error.kind });
    logger.info("retries a request at another endpoint", {
      request: call.request,
      organisation: call.organisation.name,
      service: call.service.name,
      reason: error.kind,
      offset: this.#offset,
    });
    await clock.sleep(delay, signal);
    return clock.now() < call.deadlineAt;
  }

  #buildUsage(): Usage {
    const { request } = this.#options;
    return {
      promptTokens: this.#usage?.promptTokens ?? request.promptTokens,
      completionTokens: Math.max(
        this.#usage?.completionTokens ?? 0,
        this.#offset,
      ),
    };
  }

  #logDropped(event: StreamEvent, attempt: Attempt): void {
    this.#options.environment.logger.debug("dropped a doubled event", {
      request: this.#options.entry.call.request,
      attempt: attempt.current.attempt,
      offset: event.offset,
    });
  }
}

/** Reads the first part of an error's body, for its message. */
async function readStart(response: EndpointResponse): Promise<string> {
  const decoder = new TextDecoder();
  let text = "";
  for await (const chunk of response.body) {
    text += decoder.decode(chunk, { stream: true });
    if (text.length >= ERROR_BODY_BYTES) {
      break;
    }
  }
  return text.slice(0, ERROR_BODY_BYTES).trim();
}
