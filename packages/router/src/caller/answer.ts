/** Writes HTTP responses to callers. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { type CallerShare, HeldKind } from "@rattanvane/limits";
import { HeaderName, type HttpHeader } from "@rattanvane/platform";
import { CallerError, CallerErrorKind, CallOutcome } from "./caller_error.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Hop-by-hop and connection-specific headers, which are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
]);

/** The JSON body of every error response. */
export interface ErrorBody {
  error: {
    kind: CallerErrorKind;
    message: string;
    remedy: string;
    outcome: CallOutcome;
    request: string;
  };
}

/** Builds the JSON body of an error response. */
export function buildErrorBody(error: CallerError, request: string): ErrorBody {
  return {
    error: {
      kind: error.kind,
      message: error.message,
      remedy: error.remedy,
      outcome: error.outcome,
      request,
    },
  };
}

/** Converts a thrown value to a CallerError; unknown ones become internal. */
export function convertToCallerError(thrown: unknown): CallerError {
  if (thrown instanceof CallerError) {
    return thrown;
  }
  return new CallerError(
    CallerErrorKind.Internal,
    "The router failed on this request",
    { outcome: CallOutcome.Unknown, cause: thrown },
  );
}

/** Removes hop-by-hop headers, which must not be forwarded. */
export function removeHopByHopHeaders(
  headers: readonly HttpHeader[],
): HttpHeader[] {
  return headers.filter((header) =>
    !HOP_BY_HOP_HEADERS.has(header.name.toLowerCase())
  );
}

/** Backpressure limits of a response to a slow caller. */
export interface AnswerLimits {
  /** Unsent bytes above which writing a part waits. */
  bufferBytes: number;
  /** The connection is closed when the caller reads nothing for this long. */
  stallTimeoutMilliseconds: number;
}

/** The HTTP response to one caller; nothing is written once it has ended. */
export class Answer {
  readonly request: string;
  readonly #response: ServerResponse;
  readonly #limits: AnswerLimits;
  readonly #share: CallerShare;

  /** The share counts the bytes that the caller has not taken. */
  constructor(
    response: ServerResponse,
    options: { request: string; limits: AnswerLimits; share: CallerShare },
  ) {
    const { request, limits, share } = options;
    this.#share = share;
    this.#response = response;
    this.#limits = limits;
    this.request = request;
    response.setHeader(HeaderName.RequestId, request);
  }

  /** Whether the headers were sent, after which the status can't change. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** Sends a complete response. */
  sendBytes(
    status: number,
    options: { headers: readonly HttpHeader[]; body: Uint8Array },
  ): void {
    if (this.#response.writableEnded || this.#response.destroyed) {
      return;
    }
    this.#setHeaders(options.headers);
    this.#response.statusCode = status;
    this.#response.setHeader("content-length", options.body.length);
    this.#response.end(options.body);
    this.#share.release = () => this.#response.req.socket.resetAndDestroy();
    this.#share.update(HeldKind.Answer, options.body.length);
  }

  /** Sends a complete JSON response. */
  sendJson(status: number, value: unknown): void {
    this.sendBytes(status, {
      headers: [{ name: "content-type", value: "application/json" }],
      body: Buffer.from(`${JSON.stringify(value)}\n`),
    });
  }

  /** Sends an error; closes the connection if the headers were already sent. */
  sendError(error: CallerError): void {
    if (this.started) {
      this.#response.destroy();
      return;
    }
    this.#response.setHeader(HeaderName.Outcome, error.outcome);
    if (error.retryAfterMilliseconds !== undefined) {
      const seconds = error.retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      this.#response.setHeader("retry-after", Math.max(1, Math.ceil(seconds)));
    }
    this.sendJson(error.status, buildErrorBody(error, this.request));
  }

  /** Sends the status and headers of a response that is streamed in parts. */
  startBody(status: number, headers: readonly HttpHeader[]): void {
    this.#setHeaders(headers);
    this.#response.statusCode = status;
    this.#response.flushHeaders();
  }

  /**
   * Writes a part of the body. Applies backpressure: waits for the part to be
   * flushed only while more than `bufferBytes` are unsent. Returns early when
   * the caller has disconnected.
   */
  async writePart(part: Uint8Array | string): Promise<void> {
    if (this.#response.destroyed) {
      return;
    }
    const flushed = new AbortController();
    this.#response.write(part, () => flushed.abort());
    if (this.#response.writableLength > this.#limits.bufferBytes) {
      await this.#waitUntilFlushed(flushed.signal);
    }
  }

  /** Ends a streamed body. */
  endBody(): void {
    this.#response.end();
  }

  /** Closes the connection, so that a partial response can't seem complete. */
  cut(): void {
    this.#response.destroy();
  }

  /**
   * Waits until all parts so far are flushed or the caller has disconnected.
   * The drain event of Node.js can't be used: it is not emitted when less than
   * the high-water mark of the stream is buffered.
   */
  async #waitUntilFlushed(flushed: AbortSignal): Promise<void> {
    const closed = new AbortController();
    const stop = () => closed.abort();
    const stallTimer = setTimeout(
      () => this.#response.destroy(),
      this.#limits.stallTimeoutMilliseconds,
    );
    this.#response.once("close", stop);
    const flushedOrClosed = AbortSignal.any([flushed, closed.signal]);
    if (!flushedOrClosed.aborted && !this.#response.destroyed) {
      await once(flushedOrClosed, "abort");
    }
    clearTimeout(stallTimer);
    this.#response.off("close", stop);
  }

  #setHeaders(headers: readonly HttpHeader[]): void {
    for (const header of removeHopByHopHeaders(headers)) {
      if (header.name.toLowerCase() === HeaderName.RequestId) {
        continue;
      }
      this.#response.appendHeader(header.name, header.value);
    }
  }
}
