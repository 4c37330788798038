/**
 * Frame acknowledgements. They let a dialer detect within seconds that a peer
 * hangs or that the network silently drops packets; TCP alone would take minutes.
 */

import { type Clock, describeError, type Logger } from "@rattanvane/base";
import { decodeReply, encodeValue } from "./codec.ts";
import type { FrameSeal } from "./frame_seal.ts";
import type { FramedSocket } from "./framed_socket.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

/** Delay before the frames received so far are acknowledged together. */
const ACKNOWLEDGEMENT_DELAY_MILLISECONDS = 250;

/** A peer that acknowledges nothing for this long is considered unreachable. */
const ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS = 2_000;

const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500;

/** The connection on which acknowledgements are read or written. */
export interface AcknowledgementOptions {
  socket: FramedSocket;
  seal: FrameSeal;
  clock: Clock;
  logger: Logger;
}

/** Acknowledges the frames received by a listener. */
export class AcknowledgementWriter {
  readonly #options: AcknowledgementOptions;
  readonly #signal: AbortSignal;
  #received = 0;
  #acknowledged = 0;
  #isScheduled = false;

  /** Stops writing once the signal has aborted. */
  constructor(options: AcknowledgementOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /** Counts a received frame and schedules its acknowledgement. */
  countFrame(): void {
    this.#received++;
    if (this.#isScheduled) {
      return;
    }
    this.#isScheduled = true;
    void this.#writeAfterDelay();
  }

  /**
   * Returns the sealed acknowledgement of the frames received so far, to be
   * written before anything else; undefined if all of them are acknowledged.
   */
  takePending(): Uint8Array | undefined {
    if (this.#received === this.#acknowledged) {
      return undefined;
    }
    this.#acknowledged = this.#received;
    return this.#options.seal.seal(encodeValue(this.#received));
  }

  async #writeAfterDelay(): Promise<void> {
    const { socket, clock, logger } = this.#options;
    await clock.sleep(ACKNOWLEDGEMENT_DELAY_MILLISECONDS, this.#signal);
    this.#isScheduled = false;
    if (this.#signal.aborted || socket.closed) {
      return;
    }
    const frame = this.takePending();
    if (frame === undefined) {
      return;
    }
    try {
      await socket.write(frame);
    } catch (thrown) {
      logger.debug("failed to acknowledge frames", {
        reason: describeError(thrown),
      });
    }
  }
}

/** The connection of a dialer, and who handles the listener's messages. */
export interface AcknowledgementReaderOptions extends AcknowledgementOptions {
  receive: (message: Message, bytes: number) => void;
  /** Called for a message that is not accepted; throws if reading must end. */
  reject: (error: ProtocolError) => void;
}

/** Reads the acknowledgements and the messages that a listener sends. */
export class AcknowledgementReader {
  readonly #options: AcknowledgementReaderOptions;
  #sent = 0;
  #acknowledged = 0;
  #lastProgressAt: number;
  #isChecking = false;
  readonly #signal: AbortSignal;

  /** Stops checking for progress once the signal has aborted. */
  constructor(options: AcknowledgementReaderOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    this.#lastProgressAt = options.clock.now();
  }

  /** Counts a frame before it is written. */
  countFrame(): void {
    if (this.#sent === this.#acknowledged) {
      this.#lastProgressAt = this.#options.clock.now();
    }
    this.#sent++;
    if (!this.#isChecking) {
      this.#isChecking = true;
      void this.#closeOnTimeout();
    }
  }

  /** Reads until the connection ends or fails, then closes it. */
  async run(): Promise<void> {
    const { socket, logger } = this.#options;
    try {
      while (await this.#readOne()) {
        this.#lastProgressAt = this.#options.clock.now();
      }
    } catch (thrown) {
      logger.debug("connection to a peer failed", {
        reason: describeError(thrown),
      });
    }
    socket.close();
  }

  async #readOne(): Promise<boolean> {
    const { socket, seal, receive } = this.#options;
    const frame = await socket.read();
    if (frame === undefined) {
      return false;
    }
    const reply = decodeReply(seal.open(frame));
    if (reply.isErr()) {
      this.#options.reject(reply.error);
      return true;
    }
    if (typeof reply.value !== "number") {
      receive(reply.value, frame.length);
      return true;
    }
    if (reply.value > this.#sent) {
      const problem = `Cannot accept the acknowledgement "${reply.value}"`;
      throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
    }
    this.#acknowledged = reply.value;
    return true;
  }

  /** Checks for progress until every sent frame is acknowledged. */
  async #closeOnTimeout(): Promise<void> {
    const { socket, clock, logger } = this.#options;
    while (this.#sent > this.#acknowledged) {
      await clock.sleep(TIMEOUT_CHECK_INTERVAL_MILLISECONDS, this.#signal);
      if (this.#signal.aborted || socket.closed) {
        break;
      }
      const elapsed = clock.now() - this.#lastProgressAt;
      const isWaiting = this.#sent > this.#acknowledged;
      if (isWaiting && elapsed >= ACKNOWLEDGEMENT_TIMEOUT_MILLISECONDS) {
        logger.info("peer acknowledgement timed out; closing the connection", {
          milliseconds: Math.round(elapsed),
        });
        socket.close();
      }
    }
    this.#isChecking = false;
  }
}
