/** Parsing of the server-sent events of a streamed response. */

import {
  createParser,
  type EventSourceMessage,
  type EventSourceParser,
} from "eventsource-parser";
import { EndpointError, EndpointErrorKind } from "../endpoint_error.ts";

const END_OF_STREAM = "[DONE]";
const OFFSET_PATTERN = /^\d{1,15}$/;
const DEFAULT_EVENT_LIMIT_CHARACTERS = 1024 * 1024;

/** One event of a streamed response. */
export interface StreamEvent {
  /** The number of tokens up to and including this event. */
  offset: number;
  data: string;
}

/** Limits of a stream reader. */
export interface StreamEventsOptions {
  /** The maximum length of an event, in characters. */
  eventLimitCharacters?: number;
}

/** The events of one body; iterate once, then check `complete`. */
export class StreamEvents implements AsyncIterable<StreamEvent> {
  readonly #body: AsyncIterable<Uint8Array>;
  readonly #parser: EventSourceParser;
  readonly #eventLimitCharacters: number;
  /** Characters that have arrived since the last event. */
  #charactersSinceEvent = 0;
  #pendingEvents: StreamEvent[] = [];
  #error: EndpointError | undefined;
  #offset = 0;
  #complete = false;

  constructor(
    body: AsyncIterable<Uint8Array>,
    options: StreamEventsOptions = {},
  ) {
    this.#body = body;
    this.#eventLimitCharacters = options.eventLimitCharacters ??
      DEFAULT_EVENT_LIMIT_CHARACTERS;
    this.#parser = createParser({
      maxBufferSize: this.#eventLimitCharacters,
      onEvent: (event) => this.#addEvent(event),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") {
          this.#fail("An event of the stream is over the size limit");
        }
      },
    });
  }

  /** Whether the end marker was received; without it the stream was truncated. */
  get complete(): boolean {
    return this.#complete;
  }

  /** The offset of the last event. */
  get lastOffset(): number {
    return this.#offset;
  }

  /** Throws an EndpointError if the body fails or cannot be parsed. */
  async *[Symbol.asyncIterator](): AsyncIterator<StreamEvent> {
    const decoder = new TextDecoder();
    for await (const chunk of this.#body) {
      this.#parseText(decoder.decode(chunk, { stream: true }));
      const events = this.#pendingEvents;
      this.#pendingEvents = [];
      yield* events;
      if (this.#error !== undefined) {
        throw this.#error;
      }
    }
  }

  #parseText(text: string): void {
    this.#charactersSinceEvent += text.length;
    this.#parser.feed(text);
    if (this.#charactersSinceEvent > this.#eventLimitCharacters) {
      this.#fail("An event of the stream is over the size limit");
    }
  }

  #addEvent(event: EventSourceMessage): void {
    this.#charactersSinceEvent = 0;
    if (this.#error !== undefined) {
      return;
    }
    if (this.#complete) {
      this.#fail("The stream goes on after its end mark");
      return;
    }
    if (event.data === END_OF_STREAM) {
      this.#complete = true;
      return;
    }
    if (event.id !== undefined && !OFFSET_PATTERN.test(event.id)) {
      this.#fail(`The event id "${event.id}" is not an offset`);
      return;
    }
    this.#offset = event.id === undefined ? this.#offset : Number(event.id);
    this.#pendingEvents.push({ offset: this.#offset, data: event.data });
  }

  #fail(problem: string): void {
    this.#error ??= new EndpointError(EndpointErrorKind.BadResponse, problem);
  }
}

/** Reads the events of a streamed body. */
export function readStreamEvents(
  body: AsyncIterable<Uint8Array>,
  options: StreamEventsOptions = {},
): StreamEvents {
  return new StreamEvents(body, options);
}
