/** Messages to the dialer of an incoming connection. */

import { encodeMessage } from "./codec.ts";
import type { AcknowledgementWriter } from "./acknowledgements.ts";
import type { FrameSeal } from "./frame_seal.ts";
import type { FramedSocket } from "./framed_socket.ts";
import type { Message } from "./messages.ts";

const QUEUE_LIMIT_BYTES = 4 * 1024 * 1024;

/** The connection of a {@link ReturnChannel}. */
export interface ReturnChannelOptions {
  socket: FramedSocket;
  seal: FrameSeal;
  acknowledgements: AcknowledgementWriter;
  /** Called with the size of each written frame, in bytes. */
  countSent: (bytes: number) => void;
  /** Called with the number of dropped messages. */
  countDropped: (messages: number) => void;
  /** Called with the reason when a write fails. */
  reportFailure: (thrown: unknown) => void;
}

/**
 * Sends messages on a connection that the peer has opened, so that two VMs which
 * answer each other need one connection. Acknowledgements that are due travel
 * with the messages.
 */
export class ReturnChannel {
  readonly #options: ReturnChannelOptions;
  #queue: Uint8Array[] = [];

  constructor(options: ReturnChannelOptions) {
    this.#options = options;
  }

  /** Whether messages can be sent. */
  get isOpen(): boolean {
    return !this.#options.socket.closed;
  }

  /** Enqueues a message, or drops it when too many bytes wait already. */
  send(message: Message): void {
    const { socket, countDropped } = this.#options;
    if (socket.pendingBytes > QUEUE_LIMIT_BYTES) {
      countDropped(1);
      return;
    }
    this.#queue.push(encodeMessage(message));
    if (this.#queue.length === 1) {
      queueMicrotask(() => void this.#flush());
    }
  }

  async #flush(): Promise<void> {
    const { socket, seal, acknowledgements } = this.#options;
    const payloads = this.#queue;
    this.#queue = [];
    if (socket.closed) {
      this.#options.countDropped(payloads.length);
      return;
    }
    const acknowledgement = acknowledgements.takePending();
    const frames = acknowledgement === undefined ? [] : [acknowledgement];
    for (const payload of payloads) {
      const sealed = seal.seal(payload);
      frames.push(sealed);
      this.#options.countSent(sealed.length);
    }
    try {
      await socket.writeAll(frames);
    } catch (thrown) {
      this.#options.reportFailure(thrown);
    }
  }
}
