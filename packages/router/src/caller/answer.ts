/** Writes answers to callers. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { HeaderName, type HttpHeader } from "@rattanvane/platform";
import { CallerError, CallerErrorKind, CallOutcome } from "./caller_error.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Headers of one hop; they are never passed on. */
const HOP_HEADERS = new Set([
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

/** The body of every error. */
export interface ErrorBody {
  error: {
    kind: CallerErrorKind;
    message: string;
    remedy: string;
    outcome: CallOutcome;
    request: string;
  };
}

/** Builds the body of an error. */
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

/** Turns anything that was thrown into an error for the caller. */
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

/** Drops the headers that belong to one hop only. */
export function removeHopHeaders(headers: readonly HttpHeader[]): HttpHeader[] {
  return headers.filter((header) =>
    !HOP_HEADERS.has(header.name.toLowerCase())
  );
}

/** How long and how much is held for a slow caller. */
export interface AnswerLimits {
  bufferBytes: number;
  /** A caller who takes nothing for so long is cut off. */
  stallMilliseconds: number;
}

/** One caller's answer; nothing is written once it has ended. */
export class Answer {
  readonly request: string;
  readonly #response: ServerResponse;
  readonly #limits: AnswerLimits;

  constructor(
    response: ServerResponse,
    options: { request: string; limits: AnswerLimits },
  ) {
    const { request, limits } = options;
    this.#response = response;
    this.#limits = limits;
    this.request = request;
    response.setHeader(HeaderName.RequestId, request);
  }

  /** Whether the head has been sent, so that the status can't change. */
  get started(): boolean {
    return this.#response.headersSent;
  }

  /** Sends a whole answer. */
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
  }

  /** Sends a JSON answer. */
  sendJson(status: number, value: unknown): void {
    this.sendBytes(status, {
      headers: [{ name: "content-type", value: "application/json" }],
      body: Buffer.from(`${JSON.stringify(value)}\n`),
    });
  }

  /** Sends an error; ends the connection if an answer has begun already. */
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

  /** Sends the head of an answer whose body follows in parts. */
  startBody(status: number, headers: readonly HttpHeader[]): void {
    this.#setHeaders(headers);
    this.#response.statusCode = status;
    this.#response.flushHeaders();
  }

  /**
   * Writes a part of the body. Waits only while more than the limit is held
   * for a slow caller; ends early when the caller is gone.
   */
  async writePart(part: Uint8Array | string): Promise<void> {
    if (this.#response.destroyed) {
      return;
    }
    const taken = new AbortController();
    this.#response.write(part, () => taken.abort());
    if (this.#response.writableLength > this.#limits.bufferBytes) {
      await this.#waitUntilTaken(taken.signal);
    }
  }

  /** Ends a body that was written in parts. */
  endBody(): void {
    this.#response.end();
  }

  /** Cuts the connection, so that a broken answer can't look whole. */
  cut(): void {
    this.#response.destroy();
  }

  /**
   * Waits until the caller has taken all parts so far or is gone. Node.js's
   * own drain event does not come for less than its own buffer.
   */
  async #waitUntilTaken(taken: AbortSignal): Promise<void> {
    const closed = new AbortController();
    const stop = () => closed.abort();
    const stalled = setTimeout(
      () => this.#response.destroy(),
      this.#limits.stallMilliseconds,
    );
    this.#response.once("close", stop);
    const either = AbortSignal.any([taken, closed.signal]);
    if (!either.aborted && !this.#response.destroyed) {
      await once(either, "abort");
    }
    clearTimeout(stalled);
    this.#response.off("close", stop);
  }

  #setHeaders(headers: readonly HttpHeader[]): void {
    for (const header of removeHopHeaders(headers)) {
      if (header.name.toLowerCase() === HeaderName.RequestId) {
        continue;
      }
      this.#response.appendHeader(header.name, header.value);
    }
  }
}
