/**
 * Acknowledgements of frames: they show a dialer within seconds that a peer is
 * frozen or that the network swallows what is sent, where TCP would take
 * minutes.
 */

import { type Clock, describeError, type Logger } from "@rattanvane/base";
import { decodeValue, encodeValue } from "./codec.ts";
import type { FrameSeal } from "./frame_seal.ts";
import type { FramedSocket } from "./framed_socket.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

/** How long frames are collected before they are acknowledged together. */
const COLLECT_MILLISECONDS = 250;

/** A peer that acknowledges nothing for so long counts as unreachable. */
const SILENCE_MILLISECONDS = 2_000;

const CHECK_MILLISECONDS = 500;

/** One direction of acknowledgements on a connection. */
export interface AcknowledgementOptions {
  socket: FramedSocket;
  seal: FrameSeal;
  clock: Clock;
  logger: Logger;
}

/** Acknowledges the frames that a listener has read. */
export class AcknowledgementWriter {
  readonly #options: AcknowledgementOptions;
  readonly #signal: AbortSignal;
  #received = 0;
  #scheduled = false;

  /** Writes nothing more once the signal has aborted. */
  constructor(options: AcknowledgementOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
  }

  /** Counts a frame and acknowledges it soon. */
  countFrame(): void {
    this.#received++;
    if (this.#scheduled) {
      return;
    }
    this.#scheduled = true;
    void this.#writeSoon();
  }

  async #writeSoon(): Promise<void> {
    const { socket, seal, clock, logger } = this.#options;
    await clock.sleep(COLLECT_MILLISECONDS, this.#signal);
    this.#scheduled = false;
    if (this.#signal.aborted || socket.closed) {
      return;
    }
    try {
      await socket.write(seal.seal(encodeValue(this.#received)));
    } catch (thrown) {
      logger.debug("could not acknowledge frames", {
        reason: describeError(thrown),
      });
    }
  }
}

/** Watches whether a dialer's frames are acknowledged. */
export class AcknowledgementReader {
  readonly #options: AcknowledgementOptions;
  #sent = 0;
  #acknowledged = 0;
  #progressAt: number;

  constructor(options: AcknowledgementOptions) {
    this.#options = options;
    this.#progressAt = options.clock.now();
  }

  /** Counts a frame that is about to be written. */
  countFrame(): void {
    if (this.#sent === this.#acknowledged) {
      this.#progressAt = this.#options.clock.now();
    }
    this.#sent++;
  }

  /** Reads until the connection ends; closes it after an error. */
  async run(signal: AbortSignal): Promise<void> {
    const { socket, logger } = this.#options;
    void this.#watchSilence(signal);
    try {
      while (await this.#readOne()) {
        this.#progressAt = this.#options.clock.now();
      }
    } catch (thrown) {
      logger.debug("lost the connection to a peer", {
        reason: describeError(thrown),
      });
    }
    socket.close();
  }

  async #readOne(): Promise<boolean> {
    const { socket, seal } = this.#options;
    const frame = await socket.read();
    if (frame === undefined) {
      return false;
    }
    const count = decodeValue(seal.open(frame)).unwrapOr(undefined);
    if (typeof count !== "number" || count > this.#sent) {
      const problem = `Cannot read the acknowledgement "${String(count)}"`;
      throw new ProtocolError(ProtocolErrorKind.BadFrame, problem);
    }
    this.#acknowledged = count;
    return true;
  }

  async #watchSilence(signal: AbortSignal): Promise<void> {
    const { socket, clock, logger } = this.#options;
    while (!signal.aborted && !socket.closed) {
      await clock.sleep(CHECK_MILLISECONDS, signal);
      const silence = clock.now() - this.#progressAt;
      const waits = this.#sent > this.#acknowledged;
      if (waits && silence >= SILENCE_MILLISECONDS) {
        logger.info("a peer acknowledges nothing; the link is dropped", {
          milliseconds: Math.round(silence),
        });
        socket.close();
      }
    }
  }
}
