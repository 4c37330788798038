/** A TCP connection that carries frames. */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { Socket } from "node:net";
import { Deferred } from "@rattanvane/base";
import { encodeFrame, FrameDecoder } from "./frame.ts";

/** Reception pauses while more bytes than this wait to be read. */
const RECEIVE_BUFFER_BYTES = 256 * 1024;

/** Reads and writes complete frames, with backpressure. */
export class FramedSocket {
  readonly #socket: Socket;
  readonly #decoder: FrameDecoder;
  #received = new Deferred<void>();
  #hasEnded = false;
  #error: Error | undefined;
  /** Settles when the socket's buffer is empty; shared by all writes. */
  #drained: Promise<void> | undefined;

  /** Takes ownership of the socket, which `close` or the peer ends. */
  constructor(socket: Socket, maximumFrameBytes: number) {
    this.#socket = socket;
    this.#decoder = new FrameDecoder(maximumFrameBytes);
    socket.setNoDelay(true);
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", (error) => this.#error = error);
    const end = () => {
      this.#hasEnded = true;
      this.#received.resolve();
    };
    socket.on("end", end);
    socket.on("close", end);
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
      if (this.#error !== undefined) {
        throw this.#error;
      }
      if (this.#hasEnded) {
        return undefined;
      }
      this.#socket.resume();
      this.#received = new Deferred<void>();
      await this.#received.promise;
    }
  }

  /** Writes a frame and waits while the socket's buffer is full; throws if it closes. */
  async write(payload: Uint8Array): Promise<void> {
    await this.writeAll([payload]);
  }

  /** Writes frames together; otherwise like `write`. */
  async writeAll(payloads: readonly Uint8Array[]): Promise<void> {
    const frames = payloads.map(encodeFrame);
    const isWritten = this.#socket.write(
      frames.length === 1 ? frames[0] as Uint8Array : Buffer.concat(frames),
    );
    if (isWritten) {
      return;
    }
    this.#drained ??= this.#waitForDrain().finally(() =>
      this.#drained = undefined
    );
    await this.#drained;
  }

  async #waitForDrain(): Promise<void> {
    const ended = new AbortController();
    const stop = () => ended.abort();
    this.#socket.once("close", stop);
    try {
      await once(this.#socket, "drain", { signal: ended.signal });
    } finally {
      this.#socket.off("close", stop);
    }
  }

  /** The bytes that wait to be sent. */
  get pendingBytes(): number {
    return this.#socket.writableLength;
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

  #receive(chunk: Buffer): void {
    this.#decoder.push(chunk);
    if (this.#decoder.pendingBytes > RECEIVE_BUFFER_BYTES) {
      this.#socket.pause();
    }
    this.#received.resolve();
  }
}
