/** Length-prefixed frames on a stream of bytes. */

import { Buffer } from "node:buffer";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

/** Bytes of the big-endian length before each frame. */
export const FRAME_HEADER_BYTES = 4;

/** The largest frame that a router sends or accepts. */
export const MAXIMUM_FRAME_BYTES = 1024 * 1024;

/** Adds the length before a frame's bytes. */
export function encodeFrame(payload: Uint8Array): Uint8Array {
  if (payload.length > MAXIMUM_FRAME_BYTES) {
    const problem = `Cannot send a frame of ${payload.length} bytes`;
    throw new ProtocolError(ProtocolErrorKind.FrameTooLarge, problem);
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.set(payload, FRAME_HEADER_BYTES);
  return frame;
}

/** Cuts a stream of bytes into frames. */
export class FrameSplitter {
  #pending: Buffer = Buffer.alloc(0);
  #maximumBytes: number;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Changes the limit for the frames that follow. */
  setMaximum(maximumBytes: number): void {
    this.#maximumBytes = maximumBytes;
  }

  /** Adds bytes that arrived. */
  push(chunk: Uint8Array): void {
    this.#pending = Buffer.concat([this.#pending, chunk]);
  }

  /**
   * Takes the next whole frame, or undefined when more bytes are needed.
   * Throws a ProtocolError when the frame is over the limit.
   */
  next(): Uint8Array | undefined {
    if (this.#pending.length < FRAME_HEADER_BYTES) {
      return undefined;
    }
    const length = this.#pending.readUInt32BE(0);
    if (length > this.#maximumBytes) {
      const problem = `Cannot accept a frame of ${length} bytes`;
      throw new ProtocolError(ProtocolErrorKind.FrameTooLarge, problem);
    }
    const end = FRAME_HEADER_BYTES + length;
    if (this.#pending.length < end) {
      return undefined;
    }
    const frame = this.#pending.subarray(FRAME_HEADER_BYTES, end);
    this.#pending = this.#pending.subarray(end);
    return frame;
  }
}
