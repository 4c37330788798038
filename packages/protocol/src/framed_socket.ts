/** A TCP connection that carries frames. */

import { once } from "node:events";
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "./frame.ts";

/** Reads and writes complete frames, with backpressure. */
export class FramedSocket {
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder;
  readonly #chunks: AsyncIterator<Uint8Array>;

  /** Takes ownership of the socket, which `close` or the peer ends. */
  constructor(socket: Socket, maximumFrameBytes: number) {
    this.#socket = socket;
    this.#socket.setNoDelay(true);
    // Errors surface in read() and write(); without a listener Node would throw them.
    this.#socket.on("error", () => {});
    this.#decoder = new FrameDecoder(maximumFrameBytes);
    this.#chunks = socket[Symbol.asyncIterator]();
  }

  /** Sets the maximum size of received frames, in bytes. */
  setMaximumFrame(bytes: number): void {
    this.#decoder.setMaximum(bytes);
  }

  /** Reads a frame; undefined at end of stream. Throws if the connection fails. */
  async read(): Promise<Uint8Array | undefined> {
    for (;;) {
      const frame = this.#decoder.next();
      if (frame !== undefined) {
        return frame;
      }
      const chunk = await this.#chunks.next();
      if (chunk.done === true) {
        return undefined;
      }
      this.#decoder.push(chunk.value);
    }
  }

  /** Writes a frame and waits while the socket's buffer is full; throws if it closes. */
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

  /** Whether the connection is no longer writable. */
  get closed(): boolean {
    return this.#socket.destroyed || !this.#socket.writable;
  }

  /** Resolves when the connection has closed for any reason. */
  async waitForClose(): Promise<void> {
    if (this.#socket.destroyed) {
      return;
    }
    await new Promise<void>((resolve) => this.#socket.once("close", resolve));
  }

  /** Closes the connection immediately; pending data is discarded. */
  close(): void {
    this.#socket.destroy();
  }
}
