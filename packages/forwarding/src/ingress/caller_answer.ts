/** Writes the answer to one caller, at most once. */

import type { ServerResponse } from "node:http";
import {
  AnswerFraming,
  type CompleteAnswer,
} from "../model/attempt_outcome.ts";
import type { AnswerHeaders } from "../model/dialect.ts";
import {
  type CallerShare,
  computeUnreadBytes,
  HeldKind,
} from "@rattanvane/limits";

const MILLISECONDS_PER_SECOND = 1_000;
const STATUS_UNAVAILABLE = 503;
/** Longer answers are written in parts, which tell whether the caller reads. */
const MAX_PART_BYTES = 256 * 1024;
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
  readonly #share: CallerShare;
  #streamType: string | string[] | undefined;
  /** The bytes that were written in parts. */
  #writtenBytes = 0;

  /**
   * `shouldClose` is asked with each answer whether its connection is to be
   * closed afterwards, and told whether the answer refuses the request. The
   * share counts the bytes that the caller has not taken.
   */
  constructor(
    response: ServerResponse,
    { shouldClose, share }: {
      shouldClose: (isRefused: boolean) => boolean;
      share: CallerShare;
    },
  ) {
    this.#response = response;
    this.#shouldClose = shouldClose;
    this.#share = share;
  }

  /** Whether the status and headers were sent. */
  get hasBegun(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer was written completely or the connection is closed. */
  get isFinished(): boolean {
    return this.#response.writableEnded || this.#response.destroyed ||
      this.#response.req.socket.destroyed;
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
    this.#share.release = () => this.#resetConnection();
    this.#share.update(HeldKind.Answer, answer.body.length);
    this.#writeParts(answer.body, 0);
  }

  /** All of a body is held until the caller has taken its last part. */
  #writeParts(body: Uint8Array, start: number): void {
    const end = start + MAX_PART_BYTES;
    if (this.isFinished) {
      return;
    }
    if (end >= body.length) {
      this.#response.end(start === 0 ? body : body.subarray(start));
      return;
    }
    this.#response.write(body.subarray(start, end), (error) => {
      if (!(error instanceof Error)) {
        this.#share.update(HeldKind.Answer, body.length);
        this.#writeParts(body, end);
      }
    });
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

  /**
   * Starts an answer that is passed on while it arrives. It keeps its length; one
   * without is sent in chunks, like a stream.
   */
  beginParts(status: number, headers: AnswerHeaders): void {
    const collected = this.#collectHeaders(headers);
    const length = headers["content-length"];
    if (length !== undefined) {
      collected["content-length"] = length;
    }
    this.#response.writeHead(status, collected);
  }

  /** Whether half of the memory for callers is in use. */
  get isMemoryContested(): boolean {
    return this.#share.isMemoryContested;
  }

  /** Whether an answer with these headers may go on with the begun stream. */
  mayContinueWith(headers: AnswerHeaders): boolean {
    const type = headers["content-type"];
    return !this.hasBegun || type === undefined || type === this.#streamType;
  }

  /**
   * Writes a chunk of a stream; false signals backpressure by the caller. The
   * connection to the endpoint is not read on then, and counts with its bytes.
   */
  write(chunk: Uint8Array): boolean {
    const isTaken = this.#response.write(chunk);
    this.#writtenBytes += chunk.length;
    const unread = isTaken ? 0 : computeUnreadBytes(this.#writtenBytes);
    this.#share.release ??= () => this.#resetConnection();
    this.#share.update(
      HeldKind.Answer,
      this.#response.writableLength + unread,
    );
    return isTaken;
  }

  /** Calls back once, when the buffered chunks have been drained. */
  waitForDrain(callback: () => void): void {
    this.#response.once("drain", () => {
      this.#share.update(HeldKind.Answer, this.#response.writableLength);
      callback();
    });
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

  /** Also ends answers that wait behind another one on the connection. */
  #resetConnection(): void {
    this.#response.req.socket.resetAndDestroy();
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
