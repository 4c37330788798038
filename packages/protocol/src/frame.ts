/** Length-prefixed framing of a byte stream. */

import { Buffer } from "node:buffer";
import { ByteCollector } from "@rattanvane/base";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

/** Size of the big-endian length prefix of each frame. */
export const FRAME_HEADER_BYTES = 4;

/** The largest frame that a router sends or accepts. */
export const MAXIMUM_FRAME_BYTES = 1024 * 1024;

/** Encodes a frame with its length prefix; throws a ProtocolError if it is too large. */
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

/**
 * Incrementally decodes frames from a byte stream. Each byte is copied a bounded
 * number of times, however many pieces a frame arrives in.
 */
export class FrameDecoder {
  #pending: Buffer = Buffer.alloc(0);
  /** Follows the pending bytes; joined with them when a frame is complete. */
  readonly #pieces = new ByteCollector();
  /** The pending bytes that the next step of decoding takes at least. */
  #neededBytes = FRAME_HEADER_BYTES;
  #maximumBytes: number;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Sets the maximum size of subsequent frames. */
  setMaximum(maximumBytes: number): void {
    this.#maximumBytes = maximumBytes;
  }

  /** Appends received bytes. */
  push(chunk: Uint8Array): void {
    if (this.pendingBytes === 0) {
      this.#pending = convertToBuffer(chunk);
    } else {
      this.#pieces.append(chunk);
    }
  }

  /** The number of bytes that were received and not yet returned. */
  get pendingBytes(): number {
    return this.#pending.length + this.#pieces.length;
  }

  /**
   * Removes and returns the next complete frame; undefined when more bytes are
   * needed. Throws a ProtocolError when the frame exceeds the maximum size.
   */
  next(): Uint8Array | undefined {
    if (this.pendingBytes < this.#neededBytes) {
      return undefined;
    }
    this.#joinPieces();
    const length = this.#pending.readUInt32BE(0);
    if (length > this.#maximumBytes) {
      const problem = `Cannot accept a frame of ${length} bytes`;
      throw new ProtocolError(ProtocolErrorKind.FrameTooLarge, problem);
    }
    const end = FRAME_HEADER_BYTES + length;
    if (this.#pending.length < end) {
      this.#neededBytes = end;
      return undefined;
    }
    this.#neededBytes = FRAME_HEADER_BYTES;
    const frame = this.#pending.subarray(FRAME_HEADER_BYTES, end);
    this.#pending = this.#pending.subarray(end);
    return frame;
  }

  #joinPieces(): void {
    if (this.#pieces.length > 0) {
      this.#pending = Buffer.concat([this.#pending, this.#pieces.take()]);
    }
  }
}

function convertToBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}
