/** An outgoing connection to one peer. */

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
import { handleRejectedFrame } from "./incoming_connection.ts";
import type { VmContact, VmId } from "./identifiers.ts";
import type { Message } from "./messages.ts";
import { ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";

const DIAL_TIMEOUT_MILLISECONDS = 2_000;
const QUEUE_LIMIT_BYTES = 4 * 1024 * 1024;
const RECONNECT_BACKOFF = {
  initialMilliseconds: 50,
  maximumMilliseconds: 1_000,
};

/** Dependencies shared by all links of a router. */
export interface LinkEnvironment {
  self: VmContact;
  /** The local IP address to connect from. */
  localAddress: string;
  fleetKeys: readonly string[];
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Called with the size of each written frame, in bytes. */
  countSent: (bytes: number) => void;
  /** Called with the number of dropped messages. */
  countDropped: (messages: number) => void;
  /** Called when an established connection is lost. */
  countLost: () => void;
  /** Called with the size of each received frame, in bytes. */
  countReceived: (bytes: number) => void;
  /** Called for each message that is not accepted. */
  countRejected: () => void;
  /** Handles the messages that peers send on this VM's connections. */
  receive: (from: VmId, message: Message) => void;
}

interface OpenConnection {
  socket: FramedSocket;
  session: DialedSession;
}

/** Connects to a peer on demand and reconnects with exponential back-off. */
export class OutgoingLink {
  /** Emits true when a connection opens, false when it is lost or refused. */
  readonly changes = new Emitter<boolean>();
  readonly #environment: LinkEnvironment;
  #contact: VmContact;
  #queue: Uint8Array[] = [];
  #queuedBytes = 0;
  #workAvailable = new Deferred<void>();
  #consecutiveFailures = 0;
  #isOpen = false;

  constructor(contact: VmContact, environment: LinkEnvironment) {
    this.#contact = contact;
    this.#environment = environment;
  }

  /** Whether a connection is established. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Sets the address used by subsequent connection attempts. */
  setContact(contact: VmContact): void {
    this.#contact = contact;
  }

  /** Enqueues a message, or drops it when the queue is full. */
  send(message: Message): void {
    const payload = encodeMessage(message);
    if (this.#queuedBytes + payload.length > QUEUE_LIMIT_BYTES) {
      this.#environment.logger.warn("send queue is full; message dropped", {
        peer: this.#contact.vm,
      });
      this.#environment.countDropped(1);
      return;
    }
    this.#queue.push(payload);
    this.#queuedBytes += payload.length;
    this.#workAvailable.resolve();
  }

  /** Sends queued messages until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const stop = () => this.#workAvailable.resolve();
    signal.addEventListener("abort", stop, { once: true });
    while (!signal.aborted) {
      await this.#waitForWork();
      if (signal.aborted || this.#queue.length === 0) {
        continue;
      }
      const connection = await this.#dial(signal);
      if (connection === undefined) {
        this.changes.emit(false);
        await this.#dropQueueAndWait(signal);
        continue;
      }
      this.#consecutiveFailures = 0;
      this.#isOpen = true;
      this.changes.emit(true);
      await this.#writeQueuedMessages(connection, signal);
      this.#isOpen = false;
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
    this.#workAvailable = new Deferred<void>();
    await this.#workAvailable.promise;
  }

  /** Drops the queue, whose messages are stale by now, and waits before retrying. */
  async #dropQueueAndWait(signal: AbortSignal): Promise<void> {
    this.#environment.countDropped(this.#takeQueue().length);
    const delay = computeBackoff(this.#consecutiveFailures, {
      ...RECONNECT_BACKOFF,
      random: this.#environment.random,
    });
    this.#consecutiveFailures++;
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
      logger.debug("failed to connect to a peer", {
        peer: this.#contact.vm,
        reason: describeError(thrown),
      });
      return undefined;
    }
  }

  #checkListener(listener: string): void {
    if (listener !== this.#contact.vm) {
      const problem =
        `Expected to connect to VM "${this.#contact.vm}", but reached "${listener}"`;
      throw new ProtocolError(ProtocolErrorKind.Closed, problem);
    }
  }

  /** Writes queued messages until the connection fails. */
  async #writeQueuedMessages(
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
      receive: (message, bytes) => {
        this.#environment.countReceived(bytes);
        this.#environment.receive(session.listener, message);
      },
      reject: (error) =>
        handleRejectedFrame(error, session.listener, this.#environment),
    }, signal);
    void this.#readAcknowledgements(acknowledgements);
    try {
      while (!signal.aborted && !socket.closed) {
        if (this.#queue.length === 0) {
          await this.#waitForWork();
          continue;
        }
        const sealed = this.#takeQueue().map((payload) => {
          acknowledgements.countFrame();
          return session.seal.seal(payload);
        });
        await socket.writeAll(sealed);
        for (const { length } of sealed) {
          this.#environment.countSent(length);
        }
      }
    } catch (thrown) {
      this.#environment.logger.debug("connection to a peer failed", {
        peer: this.#contact.vm,
        reason: describeError(thrown),
      });
    }
  }

  #takeQueue(): Uint8Array[] {
    const queue = this.#queue;
    this.#queue = [];
    this.#queuedBytes = 0;
    return queue;
  }

  /** Reads acknowledgements until the connection ends, then wakes the writer. */
  async #readAcknowledgements(
    acknowledgements: AcknowledgementReader,
  ): Promise<void> {
    await acknowledgements.run();
    this.#workAvailable.resolve();
  }
}
