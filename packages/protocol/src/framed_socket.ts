/** A TCP connection as a sequence of frames. */

import { once } from "node:events";
import type { Socket } from "node:net";
import { encodeFrame, FrameSplitter } from "./frame.ts";

/** Reads and writes whole frames, with back-pressure. */
export class FramedSocket {
  readonly #socket: Socket;
  readonly #splitter: FrameSplitter;
  readonly #chunks: AsyncIterator<Uint8Array>;

  /** Owns the socket from now on; `close` or the other side ends it. */
  constructor(socket: Socket, maximumFrameBytes: number) {
    this.#socket = socket;
    this.#socket.setNoDelay(true);
    // Errors reach the reader and the writer; this keeps Node from throwing.
    this.#socket.on("error", () => {});
    this.#splitter = new FrameSplitter(maximumFrameBytes);
    this.#chunks = socket[Symbol.asyncIterator]();
  }

  /** Changes the largest frame that is accepted. */
  setMaximumFrame(bytes: number): void {
    this.#splitter.setMaximum(bytes);
  }

  /** Reads a frame; undefined at the end. Throws when the connection breaks. */
  async read(): Promise<Uint8Array | undefined> {
    for (;;) {
      const frame = this.#splitter.next();
      if (frame !== undefined) {
        return frame;
      }
      const chunk = await this.#chunks.next();
      if (chunk.done === true) {
        return undefined;
      }
      this.#splitter.push(chunk.value);
    }
  }

  /** Writes a frame and waits while the socket's buffer is full. */
  async write(payload: Uint8Array): Promise<void> {
    if (this.#socket.write(encodeFrame(payload))) {
      return;
    }
    const ended = new AbortController();
    const stop = () => ended.abort();
    this.#socket.once("close", stop);
    try {
      await once(this.#socket, "drain", { signal: ended.signal });
    } finally {
      this.#socket.off("close", stop);
    }
  }

  /** Whether the connection can no longer be written to. */
  get closed(): boolean {
    return this.#socket.destroyed || !this.#socket.writable;
  }

  /** Resolves when the connection has ended for any reason. */
  async waitForClose(): Promise<void> {
    if (this.#socket.destroyed) {
      return;
    }
    await new Promise<void>((resolve) => this.#socket.once("close", resolve));
  }

  /** Drops the connection. */
  close(): void {
    this.#socket.destroy();
  }
}
