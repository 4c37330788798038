/**
 * Writes completions to callers, as an event stream or as one JSON document.
 */

import type { Answer } from "../caller/answer.ts";
import { buildErrorBody } from "../caller/answer.ts";
import type { CallerError } from "../caller/caller_error.ts";
import { HeaderName } from "@rattanvane/platform";
import {
  type AnswerIdentity,
  buildCompletionAnswer,
  formatFinishChunk,
  formatTextChunk,
  type Usage,
} from "./completion_chunk.ts";
import { formatEventId } from "./stream_ticket.ts";

const OK = 200;

/** Receives the text of one completion; each part exactly once and in order. */
export abstract class CompletionSink {
  /** Sets the ticket of the attempt that produces the text from now on. */
  abstract startAttempt(ticket: string): void;

  /**
   * Writes new text; resolves once the caller can receive more (backpressure).
   */
  abstract writeText(text: string, offset: number): Promise<void>;

  /** Ends a completion that was delivered in full. */
  abstract finish(finishReason: string, usage: Usage): Promise<void>;

  /** Ends a completion that failed, in a way that the caller can detect. */
  abstract fail(error: CallerError): Promise<void>;
}

/** Streams text to the caller as server-sent events. */
export class StreamSink extends CompletionSink {
  readonly #answer: Answer;
  readonly #identity: AnswerIdentity;
  #ticket = "";

  constructor(answer: Answer, identity: AnswerIdentity) {
    super();
    this.#answer = answer;
    this.#identity = identity;
  }

  override startAttempt(ticket: string): void {
    this.#ticket = ticket;
    if (this.#answer.started) {
      return;
    }
    this.#answer.startBody(OK, [
      { name: "content-type", value: "text/event-stream" },
      { name: "cache-control", value: "no-cache" },
      { name: HeaderName.StreamId, value: ticket },
    ]);
  }

  override async writeText(text: string, offset: number): Promise<void> {
    await this.#writeEvent(formatTextChunk(this.#identity, text), offset);
  }

  override async finish(finishReason: string, usage: Usage): Promise<void> {
    const chunk = formatFinishChunk(this.#identity, { finishReason, usage });
    await this.#writeEvent(chunk, usage.completionTokens);
    await this.#write("data: [DONE]\n\n");
    this.#answer.endBody();
  }

  /**
   * Sends an error response. When the stream has already started, sends an
   * error event instead and omits the final [DONE] event.
   */
  override async fail(error: CallerError): Promise<void> {
    if (!this.#answer.started) {
      this.#answer.sendError(error);
      return;
    }
    const body = buildErrorBody(error, this.#identity.request);
    await this.#write(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    this.#answer.endBody();
  }

  async #writeEvent(data: string, offset: number): Promise<void> {
    const id = formatEventId(offset, this.#ticket);
    await this.#write(`id: ${id}\ndata: ${data}\n\n`);
  }

  async #write(text: string): Promise<void> {
    await this.#answer.writePart(text);
  }
}

/** Buffers the text and sends it as one JSON document. */
export class JsonSink extends CompletionSink {
  readonly #answer: Answer;
  readonly #identity: AnswerIdentity;
  #text = "";

  constructor(answer: Answer, identity: AnswerIdentity) {
    super();
    this.#answer = answer;
    this.#identity = identity;
  }

  override startAttempt(): void {}

  override writeText(text: string): Promise<void> {
    this.#text += text;
    return Promise.resolve();
  }

  override finish(finishReason: string, usage: Usage): Promise<void> {
    const text = this.#text;
    const completion = { text, finishReason, usage };
    this.#answer.sendJson(
      OK,
      buildCompletionAnswer(this.#identity, completion),
    );
    return Promise.resolve();
  }

  override fail(error: CallerError): Promise<void> {
    this.#answer.sendError(error);
    return Promise.resolve();
  }
}
