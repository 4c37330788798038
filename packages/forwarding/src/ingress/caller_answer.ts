/** Writes the answer to one caller, at most once. */

import type { ServerResponse } from "node:http";
import {
  AnswerFraming,
  type CompleteAnswer,
} from "../model/attempt_outcome.ts";
import type { AnswerHeaders } from "../model/dialect.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const STATUS_UNAVAILABLE = 503;
/** No content, not modified. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Hop-by-hop headers, and the content length, which is set anew. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** An answer that the router generates instead of forwarding one. */
export interface LocalAnswer {
  status: number;
  reason: string;
  retryAfterMilliseconds?: number;
}

/** The answer to one caller; a second complete answer is ignored. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #shouldClose: (isRefused: boolean) => boolean;
  #streamType: string | string[] | undefined;

  /**
   * `shouldClose` is asked with each answer whether its connection is to be
   * closed afterwards, and told whether the answer refuses the request.
   */
  constructor(
    response: ServerResponse,
    shouldClose: (isRefused: boolean) => boolean,
  ) {
    this.#response = response;
    this.#shouldClose = shouldClose;
  }

  /** Whether the status and headers were sent. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer was written completely or the connection is closed. */
  get isFinished(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /**
   * Forwards a complete answer of an endpoint. It gets a length if it has none:
   * without one, the end of this process would look like its end.
   */
  sendWhole(answer: CompleteAnswer): void {
    if (this.hasBegun || this.isFinished) {
      return;
    }
    const headers = this.#collectHeaders(answer.headers);
    if (
      readFraming(answer.headers) !== AnswerFraming.Connection ||
      this.#mayHaveBody(answer.status)
    ) {
      headers["content-length"] = String(answer.body.length);
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(answer.body);
  }

  /** Sends an answer of the router itself, with its reason as JSON. */
  sendLocal(answer: LocalAnswer): void {
    if (this.hasBegun || this.isFinished) {
      return;
    }
    const body = `${JSON.stringify({ error: answer.reason })}\n`;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "content-length": String(body.length),
    };
    if (answer.retryAfterMilliseconds !== undefined) {
      const seconds = answer.retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      headers["retry-after"] = seconds.toFixed(2);
    }
    if (this.#shouldClose(answer.status === STATUS_UNAVAILABLE)) {
      headers["connection"] = "close";
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(body);
  }

  /**
   * Starts a stream with the status and headers of an endpoint's answer. It is
   * sent in chunks, whatever framing the endpoint uses: without them, the end of
   * this process would look like the end of the stream.
   */
  beginStream(status: number, headers: AnswerHeaders): void {
    this.#streamType = headers["content-type"];
    this.#response.writeHead(status, this.#collectHeaders(headers));
  }

  /** Whether an answer with these headers may go on with the begun stream. */
  mayContinueWith(headers: AnswerHeaders): boolean {
    const type = headers["content-type"];
    return !this.hasBegun || type === undefined || type === this.#streamType;
  }

  /** Writes a chunk of a stream; false signals backpressure by the caller. */
  write(chunk: Uint8Array): boolean {
    return this.#response.write(chunk);
  }

  /** Calls back once, when the buffered chunks have been drained. */
  waitForDrain(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  /** Ends a stream that is complete. */
  endStream(): void {
    this.#response.end();
  }

  /**
   * Closes the connection, so that the stream cannot be taken for complete. A
   * caller that takes no chunks would take its end for that of the stream, so
   * that its connection is reset.
   */
  abortStream(): void {
    const { socket } = this.#response;
    if (this.#response.chunkedEncoding || socket === null) {
      this.#response.destroy();
    } else {
      socket.resetAndDestroy();
    }
  }

  #mayHaveBody(status: number): boolean {
    return this.#response.req.method !== "HEAD" &&
      !BODILESS_STATUSES.has(status);
  }

  #collectHeaders(headers: AnswerHeaders): Record<string, string | string[]> {
    const collected: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) {
        collected[name] = value;
      }
    }
    if (this.#shouldClose(false)) {
      collected["connection"] = "close";
    }
    return collected;
  }
}

/** Reads from headers what marks the end of a body. */
export function readFraming(headers: AnswerHeaders): AnswerFraming {
  if (headers["transfer-encoding"] !== undefined) {
    return AnswerFraming.Chunks;
  }
  return headers["content-length"] === undefined
    ? AnswerFraming.Connection
    : AnswerFraming.Length;
}
