/** Reads the bodies of callers' requests. */

import type { IncomingMessage } from "node:http";
import { ByteCollector } from "@rattanvane/base";
import { RejectionKind } from "./call_reader.ts";
import { type CallerShare, HeldKind } from "@rattanvane/limits";
import type { PacedReader, PiecePace } from "./piece_pace.ts";

/** A caller that still sends the body of a rejected request is disconnected. */
const REJECTED_BODY_MILLISECONDS = 3_000;

/** The limits of one body. */
export interface BodyReaderOptions {
  maxBytes: number;
  /** Counts the body's bytes, also after it was read. */
  share: CallerShare;
  pace: PiecePace;
  /** Counts bytes as they are received. */
  countReceived: (bytes: number) => void;
}

/** Starts and stops reading the connection of a request. */
class BodyFlow implements PacedReader {
  readonly #request: IncomingMessage;

  constructor(request: IncomingMessage) {
    this.#request = request;
  }

  /**
   * Stops reading the connection. A paused request would keep each chunk that
   * the parser has found as an object of its own, and read on until its buffer
   * is full.
   */
  pause(): void {
    this.#request._read = () => {};
    this.#request.socket.pause();
  }

  resume(): void {
    delete (this.#request as Partial<IncomingMessage>)._read;
    this.#request.socket.resume();
  }
}

/**
 * Reads the complete body of a request, or resolves with why it is rejected; or
 * with undefined when the caller has closed the connection.
 */
export function readBody(
  request: IncomingMessage,
  { maxBytes, share, pace, countReceived }: BodyReaderOptions,
): Promise<Uint8Array | RejectionKind | undefined> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return Promise.resolve(RejectionKind.BodyTooLong);
  }
  const body = new ByteCollector();
  const flow = new BodyFlow(request);
  return new Promise((resolve) => {
    const stop = () => {
      request.removeAllListeners("data");
      request.off("close", leave);
      share.release = undefined;
      pace.remove(flow);
    };
    const leave = () => {
      stop();
      resolve(undefined);
    };
    const refuse = (kind: RejectionKind) => {
      stop();
      flow.resume();
      body.clear();
      share.update(HeldKind.Body, 0);
      resolve(kind);
    };
    share.release = () => refuse(RejectionKind.TooManyBytesHeld);
    request.on("data", (chunk: Uint8Array) => {
      countReceived(chunk.length);
      if (body.length + chunk.length > maxBytes) {
        refuse(RejectionKind.BodyTooLong);
        return;
      }
      body.append(chunk);
      pace.recordPiece(flow, chunk.length);
      share.update(HeldKind.Body, body.capacity);
    });
    request.once("end", () => {
      if (!share.run()) {
        refuse(RejectionKind.TooManyBytesHeld);
        return;
      }
      stop();
      resolve(body.take());
    });
    request.once("error", leave);
    request.once("close", leave);
  });
}

/**
 * Reads on to the end of a rejected body, which may not come, or until this many
 * more bytes were read.
 */
export function settleBody(
  request: IncomingMessage,
  { maxBytes, pace, countReceived }: Omit<BodyReaderOptions, "share">,
): void {
  if (request.complete) {
    return;
  }
  const flow = new BodyFlow(request);
  const timer = setTimeout(
    () => request.complete || request.socket.destroy(),
    REJECTED_BODY_MILLISECONDS,
  );
  request.once("close", () => {
    clearTimeout(timer);
    pace.remove(flow);
  });
  let bytes = 0;
  request.on("data", (chunk: Uint8Array) => {
    countReceived(chunk.length);
    bytes += chunk.length;
    if (bytes > maxBytes) {
      pace.remove(flow);
      flow.pause();
    } else {
      pace.recordPiece(flow, chunk.length);
    }
  });
}
