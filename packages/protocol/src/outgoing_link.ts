/** The connection that this router dials to one peer. */

import { connect } from "node:net";
import {
  type Clock,
  computeBackoff,
  Deferred,
  describeError,
  Emitter,
  type Logger,
  type RandomSource,
  runWithDeadline,
} from "@rattanvane/base";
import { AcknowledgementReader } from "./acknowledgements.ts";
import { encodeMessage } from "./codec.ts";
import { MAXIMUM_FRAME_BYTES } from "./frame.ts";
import { FramedSocket } from "./framed_socket.ts";
import {
  type DialedSession,
  HANDSHAKE_FRAME_BYTES,
  runDialerHandshake,
} from "./handshake.ts";
import type { VmContact } from "./identifiers.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const DIAL_TIMEOUT_MILLISECONDS = 2_000;
const QUEUE_LIMIT_BYTES = 4 * 1024 * 1024;
const RECONNECT_BACKOFF = {
  initialMilliseconds: 50,
  maximumMilliseconds: 1_000,
};

/** What every link of a router shares. */
export interface LinkEnvironment {
  self: VmContact;
  /** The own IP number to connect from. */
  localAddress: string;
  fleetKeys: readonly string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Counts bytes that were written. */
  countSent: (bytes: number) => void;
  /** Counts messages that were not sent. */
  countDropped: (messages: number) => void;
  /** Counts an open connection that broke. */
  countLost: () => void;
}

interface OpenConnection {
  socket: FramedSocket;
  session: DialedSession;
}

/** Dials a peer when there is something to send, and again when it breaks. */
export class OutgoingLink {
  /** Emits true when a connection opened, false when it is lost or refused. */
  readonly changes = new Emitter<boolean>();
  readonly #environment: LinkEnvironment;
  #contact: VmContact;
  #queue: Uint8Array[] = [];
  #queuedBytes = 0;
  #wakeUp = new Deferred<void>();
  #failures = 0;

  constructor(contact: VmContact, environment: LinkEnvironment) {
    this.#contact = contact;
    this.#environment = environment;
  }

  /** Uses another address from the next dial on. */
  setContact(contact: VmContact): void {
    this.#contact = contact;
  }

  /** Queues a message; drops it when too much is waiting already. */
  send(message: Message): void {
    const payload = encodeMessage(message);
    if (this.#queuedBytes + payload.length > QUEUE_LIMIT_BYTES) {
      this.#environment.logger.warn("dropped a message; the queue is full", {
        peer: this.#contact.vm,
      });
      this.#environment.countDropped(1);
      return;
    }
    this.#queue.push(payload);
    this.#queuedBytes += payload.length;
    this.#wakeUp.resolve();
  }

  /** Serves the peer until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const stop = () => this.#wakeUp.resolve();
    signal.addEventListener("abort", stop, { once: true });
    while (!signal.aborted) {
      await this.#waitForWork();
      if (signal.aborted || this.#queue.length === 0) {
        continue;
      }
      const connection = await this.#dial(signal);
      if (connection === undefined) {
        this.changes.emit(false);
        await this.#pauseAfterFailure(signal);
        continue;
      }
      this.#failures = 0;
      this.changes.emit(true);
      await this.#pump(connection, signal);
      connection.socket.close();
      if (!signal.aborted) {
        this.#environment.countLost();
      }
      this.changes.emit(false);
    }
  }

  async #waitForWork(): Promise<void> {
    if (this.#queue.length > 0) {
      return;
    }
    this.#wakeUp = new Deferred<void>();
    await this.#wakeUp.promise;
  }

  /** What waited for a peer that cannot be reached is stale; it is dropped. */
  async #pauseAfterFailure(signal: AbortSignal): Promise<void> {
    this.#environment.countDropped(this.#queue.length);
    this.#queue = [];
    this.#queuedBytes = 0;
    const delay = computeBackoff(this.#failures, {
      ...RECONNECT_BACKOFF,
      random: this.#environment.random,
    });
    this.#failures++;
    await this.#environment.clock.sleep(delay, signal);
  }

  async #dial(signal: AbortSignal): Promise<OpenConnection | undefined> {
    const { clock, logger, self, fleetKeys } = this.#environment;
    const fleetKey = fleetKeys[0] ?? "";
    const socket = connect({
      port: this.#contact.controlPort,
      host: this.#contact.host,
      localAddress: this.#environment.localAddress,
    });
    const framed = new FramedSocket(socket, HANDSHAKE_FRAME_BYTES);
    try {
      const session = await runWithDeadline(
        () => runDialerHandshake(framed, { self, fleetKey }),
        {
          clock,
          milliseconds: DIAL_TIMEOUT_MILLISECONDS,
          expire: () => framed.close(),
        },
        signal,
      );
      this.#checkListener(session.listener);
      framed.setMaximumFrame(MAXIMUM_FRAME_BYTES);
      return { socket: framed, session };
    } catch (thrown) {
      framed.close();
      logger.debug("could not connect to a peer", {
        peer: this.#contact.vm,
        reason: describeError(thrown),
      });
      return undefined;
    }
  }

  #checkListener(listener: string): void {
    if (listener !== this.#contact.vm) {
      const problem =
        `Expected VM "${this.#contact.vm}", but "${listener}" answered`;
      throw new ProtocolError(ProtocolErrorKind.Closed, problem);
    }
  }

  /** Writes what is queued until the connection breaks. */
  async #pump(
    connection: OpenConnection,
    signal: AbortSignal,
  ): Promise<void> {
    const { socket, session } = connection;
    const { clock, logger } = this.#environment;
    const acknowledgements = new AcknowledgementReader({
      socket,
      seal: session.acknowledgementSeal,
      clock,
      logger,
    });
    void this.#watchClose(acknowledgements, signal);
    try {
      while (!signal.aborted && !socket.closed) {
        const payload = this.#queue.shift();
        if (payload === undefined) {
          await this.#waitForWork();
          continue;
        }
        this.#queuedBytes -= payload.length;
        const sealed = session.seal.seal(payload);
        acknowledgements.countFrame();
        await socket.write(sealed);
        this.#environment.countSent(sealed.length);
      }
    } catch (thrown) {
      this.#environment.logger.debug("lost the connection to a peer", {
        peer: this.#contact.vm,
        reason: describeError(thrown),
      });
    }
  }

  /** Reads acknowledgements until the connection ends. */
  async #watchClose(
    acknowledgements: AcknowledgementReader,
    signal: AbortSignal,
  ): Promise<void> {
    await acknowledgements.run(signal);
    this.#wakeUp.resolve();
  }
}
