/** Runs a completion, with retries and resumes, until it is complete. */

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
import type { CallEntry } from "./call_entry.ts";
import {
  computeOutcome,
  convertEndpointError,
  convertRefusal,
} from "./refusal.ts";
import { encodeTicket } from "./stream_ticket.ts";

const OK = 200;
const LOWEST_SERVER_ERROR_STATUS = 500;
const DEFAULT_FINISH_REASON = "stop";
const MAXIMUM_ERROR_BODY_CHARACTERS = 2_048;
const REQUEST_HEADERS = [
  { name: "content-type", value: "application/json" },
  { name: "accept", value: "text/event-stream" },
];

/** Parameters of a completion run. */
export interface CompletionRunOptions {
  environment: AttemptEnvironment;
  entry: CallEntry;
  request: CompletionRequest;
  sink: CompletionSink;
}

/**
 * Thrown when an engine rejects a request permanently, so retries are useless.
 */
class EngineRejection extends Error {}

/** Runs one completion over as many attempts as are needed and allowed. */
export class CompletionRun {
  readonly #options: CompletionRunOptions;
  #deliveredText = "";
  #offset = 0;
  #finishReason: string | undefined;
  #usage: Usage | undefined;

  constructor(options: CompletionRunOptions) {
    this.#options = options;
  }

  /** Runs the completion; the signal aborts when the caller disconnects. */
  async run(signal: AbortSignal): Promise<void> {
    const { environment, entry } = this.#options;
    environment.retries.recordRequest(entry.call);
    for (;;) {
      const decision = await environment.dispatcher.waitForGrant(entry, signal);
      if (decision.kind === MessageKind.Refuse) {
        await this.#fail(convertRefusal(decision, entry));
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

  /**
   * Resumes a stream that was started earlier, possibly at another VM, from an
   * offset in tokens.
   */
  async runResumed(offset: number, signal: AbortSignal): Promise<void> {
    const { environment, entry } = this.#options;
    this.#offset = offset;
    const attempt = new Attempt(environment, entry);
    this.#startAttempt(attempt);
    const error = await this.#resumeUntilComplete(attempt, signal);
    if (error !== undefined) {
      await attempt.cancelWithError(error);
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

  /**
   * Runs one attempt. Returns the error that makes a retry necessary; undefined
   * when the caller has been answered or has disconnected.
   */
  async #runAttempt(signal: AbortSignal): Promise<EndpointError | undefined> {
    const { environment, entry, request } = this.#options;
    const attempt = new Attempt(environment, entry);
    const response = await attempt.send({
      method: "POST",
      path: COMPLETION_PATHS[request.form],
      headers: REQUEST_HEADERS,
      body: encodeEngineBody(request, this.#deliveredText),
    }, signal);
    if (response.isErr()) {
      await attempt.cancelWithError(response.error);
      return response.error;
    }
    try {
      await this.#checkStatus(response.value);
    } catch (thrown) {
      return await this.#handleStatusError(attempt, thrown);
    }
    this.#startAttempt(attempt);
    let error = await this.#relayEvents(response.value, attempt);
    if (error !== undefined && !signal.aborted) {
      error = await this.#resumeUntilComplete(attempt, signal);
    }
    if (signal.aborted && error !== undefined) {
      return await this.#cancelAttempt(attempt);
    }
    if (error !== undefined) {
      await attempt.cancelWithError(error);
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

  /**
   * Ends the attempt of a caller that has disconnected: cancels it at the
   * engine and reports it, which frees the slots at the engine and the
   * scheduler.
   */
  async #cancelAttempt(attempt: Attempt): Promise<undefined> {
    // The engine's slot has to be freed first, since the scheduler reuses the
    // slot as soon as it gets the report.
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

  /**
   * Forwards the events of a response to the caller. Returns the error that
   * interrupted the stream; undefined when it was complete.
   */
  async #relayEvents(
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
      "The engine's stream ended without its final event",
    );
  }

  /** Forwards new text; drops events that were already forwarded. */
  async #handleEvent(event: StreamEvent, attempt: Attempt): Promise<void> {
    const chunk = parseChunk(event.data);
    this.#finishReason = chunk.finishReason ?? this.#finishReason;
    this.#usage = chunk.usage ?? this.#usage;
    if (chunk.text === "") {
      return;
    }
    if (event.offset <= this.#offset) {
      this.#logDuplicate(event, attempt);
      return;
    }
    attempt.recordFirstByte();
    this.#offset = event.offset;
    this.#deliveredText += chunk.text;
    attempt.updateCost(this.#options.request.promptTokens + this.#offset);
    await this.#options.sink.writeText(chunk.text, event.offset);
  }

  /**
   * Resumes the engine's stream until it is complete. Stops with the last error
   * when a resume yields no new text.
   */
  async #resumeUntilComplete(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<EndpointError | undefined> {
    for (;;) {
      const offsetBefore = this.#offset;
      const resumed = await attempt.resume(offsetBefore, signal);
      if (resumed.isErr()) {
        return resumed.error;
      }
      if (resumed.value.status !== OK) {
        return new EndpointError(
          EndpointErrorKind.Lost,
          "The engine no longer holds the stream",
        );
      }
      const error = await this.#relayEvents(resumed.value, attempt);
      if (
        error === undefined || this.#offset === offsetBefore || signal.aborted
      ) {
        return error;
      }
    }
  }

  /**
   * Throws an EndpointError for server errors, which may be retried, and an
   * EngineRejection for all other statuses except 200.
   */
  async #checkStatus(response: EndpointResponse): Promise<void> {
    if (response.status === OK) {
      return;
    }
    const text = await readErrorBody(response);
    if (response.status >= LOWEST_SERVER_ERROR_STATUS) {
      throw new EndpointError(
        EndpointErrorKind.Lost,
        `The engine responded with status ${response.status}: ${text}`,
      );
    }
    throw new EngineRejection(`The engine rejected the request: ${text}`);
  }

  async #handleStatusError(
    attempt: Attempt,
    thrown: unknown,
  ): Promise<EndpointError | undefined> {
    if (!(thrown instanceof EngineRejection)) {
      const error = convertBodyError(thrown);
      await attempt.cancelWithError(error);
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

  /** Sends an error to the caller and counts it in the metrics. */
  async #fail(error: CallerError): Promise<void> {
    const { environment, sink } = this.#options;
    environment.metrics.callerErrors.inc({ kind: error.kind });
    await sink.fail(error);
  }

  /**
   * Waits for the retry back-off. Returns false when a retry is ruled out by
   * the retry budget, the deadline or the disconnection of the caller.
   */
  async #waitBeforeRetry(
    error: EndpointError,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { clock, retries, logger, metrics } = this.#options.environment;
    const { call, attemptsMade } = this.#options.entry;
    if (signal.aborted) {
      return false;
    }
    // An attempt that was not run caused no load at an endpoint, so retrying it
    // is not charged to the retry budget.
    if (!isNotRun(error) && !retries.takeRetry(call)) {
      return false;
    }
    const delayMilliseconds = retries.computeDelay(attemptsMade);
    metrics.retries.inc({ service: call.service.name, reason: error.kind });
    logger.info("retrying request at another endpoint", {
      request: call.request,
      organisation: call.organisation.name,
      service: call.service.name,
      reason: error.kind,
      offset: this.#offset,
    });
    await clock.sleep(delayMilliseconds, signal);
    return clock.now() < call.deadlineAt;
  }

  /**
   * Builds the usage from the engine's token counts, or from the router's own
   * where the engine has reported none or fewer completion tokens.
   */
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

  #logDuplicate(event: StreamEvent, attempt: Attempt): void {
    this.#options.environment.logger.debug("dropped a duplicate event", {
      request: this.#options.entry.call.request,
      attempt: attempt.current.attempt,
      offset: event.offset,
    });
  }
}

/** Reads the start of an error response body, for use in an error message. */
async function readErrorBody(response: EndpointResponse): Promise<string> {
  const decoder = new TextDecoder();
  let text = "";
  for await (const chunk of response.body) {
    text += decoder.decode(chunk, { stream: true });
    if (text.length >= MAXIMUM_ERROR_BODY_CHARACTERS) {
      break;
    }
  }
  return text.slice(0, MAXIMUM_ERROR_BODY_CHARACTERS).trim();
}
