/** An incoming connection from a peer. */

import type { Socket } from "node:net";
import {
  ChildAbort,
  type Clock,
  describeError,
  type Logger,
  runWithDeadline,
} from "@rattanvane/base";
import { AcknowledgementWriter } from "./acknowledgements.ts";
import { decodeMessage } from "./codec.ts";
import { MAXIMUM_FRAME_BYTES } from "./frame.ts";
import { FramedSocket } from "./framed_socket.ts";
import {
  type AcceptedSession,
  HANDSHAKE_FRAME_BYTES,
  runListenerHandshake,
} from "./handshake.ts";
import type { VmContact, VmId } from "./identifiers.ts";
import type { Message } from "./messages.ts";
import { type ProtocolError, ProtocolErrorKind } from "./protocol_error.ts";
import { ReturnChannel } from "./return_channel.ts";

const HANDSHAKE_TIMEOUT_MILLISECONDS = 3_000;

/** Dependencies and callbacks of an incoming connection. */
export interface IncomingOptions {
  self: VmId;
  fleetKeys: readonly string[];
  clock: Clock;
  logger: Logger;
  /** Called once, after the peer has been authenticated by the fleet key. */
  accept: (dialer: VmContact) => void;
  receive: (from: VmId, message: Message) => void;
  /** Called when messages can be sent to the dialer on its connection. */
  open: (dialer: VmId, channel: ReturnChannel) => void;
  /** Called when that ends. */
  close: (dialer: VmId, channel: ReturnChannel) => void;
  countReceived: (bytes: number) => void;
  countSent: (bytes: number) => void;
  countDropped: (messages: number) => void;
  /** Called for each message that is not accepted. */
  countRejected: () => void;
}

/**
 * Counts and logs a message that is not accepted, as another release may send
 * it; throws for bytes that are no message, after which nothing can be read.
 */
export function handleRejectedFrame(
  error: ProtocolError,
  peer: VmId,
  options: { logger: Logger; countRejected: () => void },
): void {
  if (error.kind !== ProtocolErrorKind.BadMessage) {
    throw error;
  }
  options.countRejected();
  options.logger.warn("a message was not accepted", {
    peer,
    reason: error.message,
  });
}

/** Serves a connection until it ends or the signal aborts. */
export async function runIncomingConnection(
  socket: Socket,
  options: IncomingOptions,
  signal: AbortSignal,
): Promise<void> {
  const framed = new FramedSocket(socket, HANDSHAKE_FRAME_BYTES);
  const lifetime = new ChildAbort(signal);
  lifetime.signal.addEventListener("abort", () => framed.close());
  try {
    const session = await runTimedHandshake(framed, options, signal);
    options.accept(session.dialer);
    await readMessages({ framed, session }, options, lifetime.signal);
  } catch (thrown) {
    options.logger.debug("incoming connection failed and was closed", {
      address: socket.remoteAddress,
      reason: describeError(thrown),
    });
  } finally {
    lifetime.abort();
  }
}

async function runTimedHandshake(
  framed: FramedSocket,
  options: IncomingOptions,
  signal: AbortSignal,
): Promise<AcceptedSession> {
  const session = await runWithDeadline(
    () => runListenerHandshake(framed, options),
    {
      clock: options.clock,
      milliseconds: HANDSHAKE_TIMEOUT_MILLISECONDS,
      expire: () => framed.close(),
    },
    signal,
  );
  framed.setMaximumFrame(MAXIMUM_FRAME_BYTES);
  return session;
}

async function readMessages(
  connection: { framed: FramedSocket; session: AcceptedSession },
  options: IncomingOptions,
  signal: AbortSignal,
): Promise<void> {
  const { framed, session } = connection;
  const { vm } = session.dialer;
  const acknowledgements = new AcknowledgementWriter({
    socket: framed,
    seal: session.acknowledgementSeal,
    clock: options.clock,
    logger: options.logger,
  }, signal);
  const channel = new ReturnChannel({
    ...options,
    socket: framed,
    seal: session.acknowledgementSeal,
    acknowledgements,
    reportFailure: (thrown) =>
      options.logger.debug("failed to send to the dialer of a connection", {
        peer: vm,
        reason: describeError(thrown),
      }),
  });
  if (session.acceptsMessages) {
    options.open(vm, channel);
  }
  try {
    for (;;) {
      const frame = await framed.read();
      if (frame === undefined) {
        return;
      }
      options.countReceived(frame.length);
      acknowledgements.countFrame();
      const message = decodeMessage(session.seal.open(frame));
      if (message.isErr()) {
        handleRejectedFrame(message.error, vm, options);
        continue;
      }
      options.receive(vm, message.value);
    }
  } finally {
    options.close(vm, channel);
  }
}
