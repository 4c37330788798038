/** One HTTP request and its answer, as the stand-ins handle them. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";

const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

/** Says that a request cannot be served as it stands. */
export class HttpProblem extends Error {
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

/** Header fields of an answer. */
export type HeaderFields = Record<string, string>;

/** A request, its parsed URL and the answer to be written. */
export class HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly method: string;
  readonly url: URL;
  /** Bytes of the request body that were read so far. */
  bytesRead = 0;
  /** Bytes of the answer's body that were written so far. */
  bytesWritten = 0;

  constructor(request: IncomingMessage, response: ServerResponse) {
    this.request = request;
    this.response = response;
    this.method = request.method ?? "GET";
    this.url = new URL(request.url ?? "/", "http://localhost");
  }

  /** The path's segments, decoded. */
  get segments(): string[] {
    return this.url.pathname.split("/").slice(1).map(decodeURIComponent);
  }

  /** A request header, or an empty string. */
  header(name: string): string {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value.join(", ") : value ?? "";
  }

  /** Reads the whole body. */
  async readBody(): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of this.request) {
      const bytes = part as Buffer;
      this.bytesRead += bytes.length;
      if (this.bytesRead > MAXIMUM_BODY_BYTES) {
        throw new HttpProblem(413, "The body is too long; send less");
      }
      parts.push(bytes);
    }
    return Buffer.concat(parts);
  }

  /** Writes a JSON answer and ends it. */
  sendJson(status: number, body: unknown, headers: HeaderFields = {}): void {
    const bytes = Buffer.from(JSON.stringify(body));
    this.sendBytes(status, bytes, {
      "content-type": "application/json",
      ...headers,
    });
  }

  /** Writes an answer of bytes and ends it. */
  sendBytes(status: number, bytes: Buffer, headers: HeaderFields = {}): void {
    if (this.response.destroyed) {
      return;
    }
    this.bytesWritten += bytes.length;
    this.response.writeHead(status, {
      ...headers,
      "content-length": String(bytes.length),
    });
    this.response.end(bytes);
  }

  /** Writes an answer without a body. */
  sendEmpty(status: number, headers: HeaderFields = {}): void {
    this.response.writeHead(status, headers);
    this.response.end();
  }

  /** Cuts the connection without an answer. */
  cut(): void {
    this.request.socket.resetAndDestroy();
  }
}
