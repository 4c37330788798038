/** One connection of a pool: the bytes of its answers, and how it ends. */

import type { Socket } from "node:net";
import type { Dispatcher } from "undici";

/** More than the headers that are accepted, interim answers included. */
const MAX_FRAMING_BYTES = 64 * 1024;
const RESET_CODE = "ECONNRESET";
/** A code for which undici does not parse on. */
const RESET_WHILE_PAUSED_CODE = "ECONNRESET_WHILE_PAUSED";

/** How a connection has ended. */
export enum ConnectionEnd {
  None = "none",
  /** The other side has closed it in the ordinary way. */
  Closed = "closed",
  Reset = "reset",
}

/** Thrown into a connection that delivers too much besides bodies. */
export class FramingLimitError extends Error {
  constructor() {
    super(
      `The answer has more than ${MAX_FRAMING_BYTES} bytes of HTTP framing ` +
        "beyond the length of its body; check the endpoint",
    );
  }
}

/** A connection, and the current answer on it. */
export class AnswerConnection {
  readonly #socket: Socket;
  #end = ConnectionEnd.None;
  /** Undefined between two answers. */
  controller: Dispatcher.DispatchController | undefined;
  /** Bytes that were parsed before the current answer. */
  #earlierBytes = 0;
  #bodyBytes = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  get end(): ConnectionEnd {
    return this.#end;
  }

  /** Closes the connection when the answer exceeds the limit. */
  check(): void {
    const framingBytes = this.#parsedBytes - this.#earlierBytes -
      this.#bodyBytes;
    if (framingBytes > MAX_FRAMING_BYTES + this.#bodyBytes) {
      this.#socket.destroy(new FramingLimitError());
    }
  }

  /** Counts a part of the answer's body. */
  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /** Called when the other side has ended the connection, before undici is. */
  recordEnd(): void {
    this.#end = hasBeenReset(this.#socket)
      ? ConnectionEnd.Reset
      : ConnectionEnd.Closed;
    this.#prepareForEnd();
  }

  /** Called when the connection has failed, before undici is. */
  recordError(error: NodeJS.ErrnoException): void {
    this.#end = ConnectionEnd.Reset;
    this.#prepareForEnd(error);
  }

  /** Starts counting for the next answer. */
  restart(): void {
    this.controller = undefined;
    this.#earlierBytes = this.#parsedBytes;
    this.#bodyBytes = 0;
  }

  /**
   * undici's parser must not be paused when its connection ends: it throws an
   * assertion then that nothing catches.
   */
  #prepareForEnd(error?: NodeJS.ErrnoException): void {
    if (this.controller?.paused !== true) {
      return;
    }
    if (error === undefined) {
      this.controller.resume();
    } else if (error.code === RESET_CODE) {
      error.code = RESET_WHILE_PAUSED_CODE;
    }
  }

  get #parsedBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }
}

/**
 * Whether the end of a socket is a reset. One that arrives together with bytes is
 * reported as an end, and a write, also of no bytes, fails then.
 */
function hasBeenReset(socket: Socket): boolean {
  socket.write("");
  return socket.errored !== null;
}
