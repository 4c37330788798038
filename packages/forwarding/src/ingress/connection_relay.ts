/** Passes connections of callers on to other VMs while this one is saturated. */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import {
  type Clock,
  describeError,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { VmContact } from "@rattanvane/protocol";
import {
  type CallerMemory,
  type CallerShare,
  computeUnreadBytes,
  HeldKind,
} from "@rattanvane/limits";
import { RelayTargets } from "./relay_targets.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** A caller that sends no request line for this long is disconnected. */
const REQUEST_LINE_TIMEOUT_MILLISECONDS = 1_000;
/** A caller that does not close its connection for this long is disconnected. */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000;
const MAX_REQUEST_LINE_BYTES = 64 * 1024;
const LINE_END = "\r\n";
const REFUSAL_START = "HTTP/1.1 503";
/** A line that begins with one of these would continue the added header. */
const FOLDING = new Set([" ", "\t"]);
/**
 * Added after the request line. The other VM closes the connection after its
 * answer and passes it on to no third one.
 */
const RELAY_HEADER = "connection: close, relayed";

/** Dependencies of a {@link ConnectionRelay}. */
export interface ConnectionRelayOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** The local IP address to connect from. */
  host: string;
  /** Lists the other live VMs of this VM's zone. */
  listPeers: () => readonly VmContact[];
  /** Lists VMs of other zones; unset to choose in this zone at random. */
  listOtherZones?: (() => readonly VmContact[]) | undefined;
  /** Connections that may be passed on at a time. */
  maxConnections: number;
  /** Counts what is held of connections that are passed on. */
  memory: CallerMemory;
  /** Refuses a connection from which these bytes were read. */
  refuse: (socket: Socket, received: string) => void;
}

/**
 * Passes on the bytes of a connection, which takes a small part of the time that
 * serving its request takes. One request is served on a relayed connection. No
 * request is sent twice: a connection is refused here only if the other VM could
 * not be connected to.
 *
 * Load: all callers of an organisation reach one VM, whose processor cannot
 * serve them, while others of its zone have time.
 */
export class ConnectionRelay {
  readonly #options: ConnectionRelayOptions;
  readonly #targets: RelayTargets;
  readonly #maxConnections: number;
  #open = 0;

  constructor(options: ConnectionRelayOptions) {
    this.#options = options;
    this.#targets = new RelayTargets(options);
    this.#maxConnections = options.maxConnections;
  }

  /** The number of connections that are passed on. */
  get open(): number {
    return this.#open;
  }

  /** Whether another connection can be passed on. */
  get hasRoom(): boolean {
    return this.#open < this.#maxConnections && !this.#targets.isEmpty;
  }

  /** Passes a new connection on; false if there is no room or no other VM. */
  start(socket: Socket): boolean {
    const peer = this.#open < this.#maxConnections
      ? this.#targets.pick()
      : undefined;
    if (peer === undefined) {
      return false;
    }
    this.#open++;
    socket.once("close", () => this.#open--);
    socket.on("error", () => socket.destroy());
    this.#readRequestLine(
      socket,
      (received) => this.#connect(socket, peer, received),
    );
    return true;
  }

  #readRequestLine(
    socket: Socket,
    proceed: (received: string) => void,
  ): void {
    let received = "";
    const destroy = () => socket.destroy();
    socket.setTimeout(REQUEST_LINE_TIMEOUT_MILLISECONDS, destroy);
    socket.on("end", destroy);
    const receive = (chunk: Uint8Array) => {
      received += Buffer.from(chunk).toString("latin1");
      if (findHeaderStart(received) > 0) {
        socket.setTimeout(0);
        socket.off("data", receive).off("end", destroy).pause();
        proceed(received);
      } else if (received.length > MAX_REQUEST_LINE_BYTES) {
        destroy();
      }
    };
    socket.on("data", receive);
  }

  #connect(socket: Socket, peer: VmContact, received: string): void {
    const { host: localAddress, refuse } = this.#options;
    const start = findHeaderStart(received);
    const isFolded = FOLDING.has(received.charAt(start));
    if (isFolded || received.startsWith(RELAY_HEADER, start)) {
      refuse(socket, received);
      return;
    }
    let isConnected = false;
    let isAnswered = false;
    this.#targets.addConnection(peer.vm);
    const { host, callerPort: port } = peer;
    const upstream = connect({
      host,
      port,
      localAddress,
      noDelay: true,
      allowHalfOpen: true,
    });
    const timer = setTimeout(
      () => upstream.destroy(new Error("The connection timed out")),
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    upstream.once("close", () => {
      clearTimeout(timer);
      this.#targets.removeConnection(peer.vm, isAnswered);
    });
    upstream.once("connect", () => {
      isConnected = true;
      clearTimeout(timer);
      upstream.write(addRelayHeader(received, start), "latin1");
      upstream.once("data", (chunk: Uint8Array) => {
        isAnswered = true;
        this.#targets.recordAnswer(peer.vm, isRefusal(chunk));
      });
      this.#countBytes(socket, upstream);
      socket.pipe(upstream);
      upstream.pipe(socket, { end: false });
    });
    upstream.once("end", () => {
      // A reset that arrives together with bytes is reported as an end. A write
      // fails then.
      upstream.write(LINE_END, (error) => {
        if (!(error instanceof Error)) {
          upstream.destroy();
          stopCaller(socket);
        }
      });
    });
    upstream.once("error", (error) => {
      if (isConnected) {
        // A truncated answer must not look complete.
        socket.resetAndDestroy();
      } else if (!socket.destroyed) {
        this.#recordFailure(peer, error);
        refuse(socket, received);
      }
    });
    socket.once("close", () => upstream.destroy());
    // The other VM ends the answer of a caller that has left, unless it froze.
    socket.once("end", () => startCloseTimeout(socket));
  }

  /** Counts what waits at this VM in both directions. */
  #countBytes(socket: Socket, upstream: Socket): void {
    const share = this.#options.memory.createShare(() => socket.remoteAddress);
    share.release = () => socket.resetAndDestroy();
    socket.once("close", () => share.close());
    const update = () => updateShare(share, socket, upstream);
    for (const each of [socket, upstream]) {
      // Called before what has arrived is passed on, and after it was taken.
      each.on("data", () => queueMicrotask(update));
      each.on("drain", update);
    }
  }

  #recordFailure({ vm }: VmContact, error: Error): void {
    if (this.#targets.recordFailure(vm)) {
      this.#options.logger.info(
        "a connection could not be passed on to another VM",
        {
          vm,
          reason: describeError(error),
        },
      );
    }
  }
}

function updateShare(
  share: CallerShare,
  socket: Socket,
  upstream: Socket,
): void {
  share.update(HeldKind.Body, sumWaitingBytes(socket, upstream));
  share.update(HeldKind.Answer, sumWaitingBytes(upstream, socket));
}

/** Sums what was received from one connection and not taken by the other. */
function sumWaitingBytes(from: Socket, to: Socket): number {
  return to.writableLength +
    (to.writableNeedDrain ? computeUnreadBytes(from.bytesRead) : 0);
}

/** Whether the first bytes of an answer are those of a refused request. */
function isRefusal(chunk: Uint8Array): boolean {
  const start = Buffer.from(chunk.subarray(0, REFUSAL_START.length));
  return start.toString("latin1") === REFUSAL_START;
}

/** Ends a connection and discards what its caller still sends. */
function stopCaller(socket: Socket): void {
  socket.unpipe().resume().end();
  startCloseTimeout(socket);
}

/** Disconnects a caller that has not closed its connection in time. */
function startCloseTimeout(socket: Socket): void {
  const timer = setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MILLISECONDS);
  socket.once("close", () => clearTimeout(timer));
}

/**
 * Finds the end of the request line, which is after its first line end; 0 if
 * nothing after it was received.
 */
function findHeaderStart(received: string): number {
  let start = 0;
  while (received.startsWith(LINE_END, start)) {
    start += LINE_END.length;
  }
  const end = received.indexOf(LINE_END, start) + LINE_END.length;
  return end < LINE_END.length || end >= received.length ? 0 : end;
}

function addRelayHeader(received: string, start: number): string {
  return received.slice(0, start) + RELAY_HEADER + LINE_END +
    received.slice(start);
}
