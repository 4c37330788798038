/** Where the text of a completion goes: to a stream or into one answer. */

import type { Answer } from "../caller/answer.ts";
import { buildErrorBody } from "../caller/answer.ts";
import type { CallerError } from "../caller/caller_error.ts";
import { HeaderName } from "@rattanvane/platform";
import {
  type AnswerIdentity,
  describeWholeAnswer,
  formatFinishChunk,
  formatTextChunk,
  type Usage,
} from "./completion_chunk.ts";
import { formatEventId } from "./stream_ticket.ts";

const OK = 200;

/** Takes the text of an answer in order, each part once. */
export abstract class CompletionSink {
  /** Tells which attempt gives the text from now on. */
  abstract startAttempt(ticket: string): void;

  /** Takes new text; waits while the caller is too slow. */
  abstract writeText(text: string, offset: number): Promise<void>;

  /** Ends a whole answer. */
  abstract finish(finishReason: string, usage: Usage): Promise<void>;

  /** Ends an answer that could not be completed, in a way that shows. */
  abstract fail(error: CallerError): Promise<void>;
}

/** Passes text on as server-sent events. */
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

  /** An answer that has begun ends with an error event and no end mark. */
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

/** Collects text into one JSON answer. */
export class WholeSink extends CompletionSink {
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
    const whole = { text, finishReason, usage };
    this.#answer.sendJson(OK, describeWholeAnswer(this.#identity, whole));
    return Promise.resolve();
  }

  override fail(error: CallerError): Promise<void> {
    this.#answer.sendError(error);
    return Promise.resolve();
  }
}
