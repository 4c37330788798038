/** The answer to one caller, written at most once. */

import type { ServerResponse } from "node:http";
import type { WholeAnswer } from "../model/attempt_outcome.ts";
import type { AnswerHeaders } from "../model/dialect.ts";

const MILLISECONDS_PER_SECOND = 1_000;

/** Headers that each connection has for itself. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** An answer of the router's own. */
export interface OwnAnswer {
  status: number;
  reason: string;
  retryAfterMilliseconds?: number;
}

/** Writes to one caller. */
export class CallerAnswer {
  readonly #response: ServerResponse;
  readonly #shouldClose: () => boolean;

  constructor(response: ServerResponse, shouldClose: () => boolean) {
    this.#response = response;
    this.#shouldClose = shouldClose;
  }

  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  get isOver(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Passes an endpoint's answer on. */
  sendWhole(answer: WholeAnswer): void {
    if (this.hasBegun || this.isOver) {
      return;
    }
    const headers = this.#collectHeaders(answer.headers);
    if (isFramed(answer.headers)) {
      headers["content-length"] = String(answer.body.length);
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(answer.body);
  }

  /** Sends an answer of the router's own. */
  sendOwn(answer: OwnAnswer): void {
    if (this.hasBegun || this.isOver) {
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
    if (this.#shouldClose()) {
      headers["connection"] = "close";
    }
    this.#response.writeHead(answer.status, headers);
    this.#response.end(body);
  }

  /** Begins a stream with the headers of an endpoint. */
  beginStream(status: number, headers: AnswerHeaders): void {
    this.#response.writeHead(status, this.#collectHeaders(headers));
  }

  /** Writes a part of a stream; false when the caller is slow to read. */
  write(chunk: Uint8Array): boolean {
    return this.#response.write(chunk);
  }

  /** Calls back once when the caller has read what was written. */
  waitUntilRead(callback: () => void): void {
    this.#response.once("drain", callback);
  }

  /** Ends a stream that is whole. */
  endStream(): void {
    this.#response.end();
  }

  /** Breaks a stream off, so that it cannot be taken for whole. */
  cut(): void {
    this.#response.destroy();
  }

  #collectHeaders(headers: AnswerHeaders): Record<string, string | string[]> {
    const collected: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined && !CONNECTION_HEADERS.has(name)) {
        collected[name] = value;
      }
    }
    const hasEnd = isFramed(headers);
    if (!hasEnd) {
      // Whether it is whole cannot be told, so it must not look whole.
      this.#response.useChunkedEncodingByDefault = false;
    }
    if (!hasEnd || this.#shouldClose()) {
      collected["connection"] = "close";
    }
    return collected;
  }
}

/** Whether the end of an answer can be told from a broken connection. */
export function isFramed(headers: AnswerHeaders): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
