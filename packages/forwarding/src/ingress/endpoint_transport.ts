/** Sends requests to endpoints over keep-alive connections. */

import type { Socket } from "node:net";
import {
  addAbortListener,
  ConnectError,
  createConnector,
  createLimitedPool,
  type LimitedPool,
} from "@rattanvane/platform";
import type { buildConnector, Dispatcher } from "undici";
import { type Clock, SystemClock } from "@rattanvane/base";
import type { AnswerHeaders } from "../model/dialect.ts";
import { AnswerPace } from "./answer_pace.ts";
import { EndpointConnections } from "./endpoint_connections.ts";

/** Answers from here to the next status precede the final one. */
const STATUS_INFORMATIONAL = 100;
const STATUS_OK = 200;
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Applies where the endpoint states no time-out of its own. */
const IDLE_TIMEOUT_MILLISECONDS = 4_000;
const MAX_IDLE_TIMEOUT_MILLISECONDS = 60_000;
/** Idle connections are closed this long before the endpoint would do so. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

/** A request to an endpoint. */
export interface EndpointRequest {
  method: string;
  target: string;
  /** Alternating names and values. */
  headers: string[];
  body: Uint8Array;
  /** Asked when the request is about to be written; false: it is not sent. */
  mayStart?: () => boolean;
}

/** How a request failed. */
export enum TransportFailureKind {
  /** Nothing was sent. */
  NotSent = "notSent",
  /** The connection broke, or the endpoint sent no valid HTTP answer. */
  Broken = "broken",
}

/** Why a request ended without a complete answer. */
export interface TransportFailure {
  kind: TransportFailureKind;
  reason: string;
}

/** Lets the receiver of an answer apply backpressure or cancel it. */
export interface AnswerControl {
  pause(): void;
  resume(): void;
  /** Counts pieces of the answer that were found in a chunk, beyond the first. */
  recordPieces(count: number): void;
  /** Closes the connection; the receiver is not called again. */
  cancel(): void;
}

/**
 * Receives the parts of an answer in order: `begin`, any number of `receive`,
 * then `end`. `fail` may take the place of any of them and is the last call.
 */
export abstract class AnswerReceiver {
  abstract begin(
    status: number,
    headers: AnswerHeaders,
    control: AnswerControl,
  ): void;
  abstract receive(chunk: Uint8Array): void;
  abstract end(): void;
  abstract fail(cause: TransportFailure): void;
}

/** A request that was sent and may not be answered yet. */
export interface SentRequest {
  /** Closes the connection; the receiver is not called again. */
  cancel(): void;
}

/** How a connection ends whose listeners are running. */
export enum ConnectionEnd {
  None = "none",
  /** The endpoint has closed it in the ordinary way. */
  Closed = "closed",
  Reset = "reset",
}

/** Tells the answer of a connection how it ends. */
interface EndState {
  current: ConnectionEnd;
}

/** Optional callbacks of an {@link EndpointTransport}. */
export interface EndpointTransportOptions {
  /** Counts bytes of answers as they are received. */
  countReceived?: (bytes: number) => void;
}

/** Keeps one connection pool for each address. */
export class EndpointTransport {
  readonly #endState: EndState = { current: ConnectionEnd.None };
  readonly #pools = new Map<string, LimitedPool>();
  readonly #clock: Clock = new SystemClock();
  readonly #connections: EndpointConnections;
  readonly #localAddress: string;
  readonly #signal: AbortSignal;
  readonly #countReceived: (bytes: number) => void;

  /** Connects from the local address; an abort closes all connections. */
  constructor(
    localAddress: string,
    signal: AbortSignal,
    { countReceived = () => {} }: EndpointTransportOptions = {},
  ) {
    this.#countReceived = countReceived;
    this.#localAddress = localAddress;
    this.#signal = signal;
    this.#connections = new EndpointConnections({
      clock: this.#clock,
      localAddress,
      signal,
    });
  }

  /**
   * Sends a request. The receiver's `end` or `fail` is called exactly once,
   * unless the request is cancelled.
   */
  send(
    address: string,
    request: EndpointRequest,
    receiver: AnswerReceiver,
  ): SentRequest {
    const handler = new AnswerHandler(receiver, {
      endState: this.#endState,
      clock: this.#clock,
      mayStart: request.mayStart ?? (() => true),
      countReceived: this.#countReceived,
      findEndOfProcess: () => this.#connections.findEndOfProcess(address),
    });
    const isEmpty = request.body.length === 0;
    const pool = this.#findOrCreatePool(address);
    if (pool === undefined) {
      const reason = `The address "${address}" cannot be connected to`;
      receiver.fail({ kind: TransportFailureKind.NotSent, reason });
      return handler;
    }
    pool.dispatcher.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers,
      body: isEmpty ? null : request.body,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, handler);
    return handler;
  }

  /** Closes the connections to an address that is no longer used. */
  closeConnections(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    void pool?.pool.close();
  }

  /**
   * undici reports an answer without a length as complete when its connection
   * ends, however it does. The connector therefore says how while the listeners
   * of the connection run.
   */
  #createConnector(): buildConnector.connector {
    const connect = createConnector({
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      localAddress: this.#localAddress,
      allowHalfOpen: true,
    });
    return (target, callback) => {
      connect(target, (...[error, socket]) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        this.#connections.add(`${target.hostname}:${target.port}`, socket);
        socket.on("error", () => this.#recordEnd(ConnectionEnd.Reset));
        socket.on("end", () => {
          this.#recordEnd(
            hasBeenReset(socket) ? ConnectionEnd.Reset : ConnectionEnd.Closed,
          );
        });
        callback(null, socket);
      });
    };
  }

  #recordEnd(end: ConnectionEnd): void {
    this.#endState.current = end;
    queueMicrotask(() => this.#endState.current = ConnectionEnd.None);
  }

  /** Returns undefined for an address to which nothing can be sent. */
  #findOrCreatePool(address: string): LimitedPool | undefined {
    const existing = this.#pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const url = `http://${address}`;
    if (!URL.canParse(url)) {
      return undefined;
    }
    const pool = createLimitedPool(url, {
      connect: this.#createConnector(),
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MILLISECONDS,
      allowH2: false,
    });
    this.#pools.set(address, pool);
    addAbortListener(this.#signal, () => void pool.pool.destroy());
    return pool;
  }
}

/**
 * Whether the end of a socket is a reset. One that arrives together with bytes is
 * reported as an end, and a write, also of no bytes, fails then.
 */
function hasBeenReset(socket: Socket): boolean {
  socket.write("");
  return socket.errored !== null;
}

interface AnswerHandlerOptions {
  endState: EndState;
  clock: Clock;
  mayStart: () => boolean;
  countReceived: (bytes: number) => void;
  /** Why the endpoint's process seems to have ended; undefined if it runs. */
  findEndOfProcess: () => Promise<string | undefined>;
}

/** Forwards undici's events until the request ends or is cancelled. */
class AnswerHandler implements Dispatcher.DispatchHandler, SentRequest {
  readonly #receiver: AnswerReceiver;
  readonly #endState: EndState;
  readonly #mayStart: () => boolean;
  readonly #countReceived: (bytes: number) => void;
  readonly #findEndOfProcess: () => Promise<string | undefined>;
  readonly #pace: AnswerPace;
  #controller: Dispatcher.DispatchController | undefined;
  /** Whether the receiver, and the pace of the answer, have paused it. */
  #isPausedByReceiver = false;
  #paceTimer: NodeJS.Timeout | undefined;
  #isFinished = false;

  constructor(
    receiver: AnswerReceiver,
    { endState, clock, mayStart, countReceived, findEndOfProcess }:
      AnswerHandlerOptions,
  ) {
    this.#receiver = receiver;
    this.#endState = endState;
    this.#mayStart = mayStart;
    this.#countReceived = countReceived;
    this.#findEndOfProcess = findEndOfProcess;
    this.#pace = new AnswerPace(clock);
  }

  cancel(): void {
    this.#finish();
    this.#controller?.abort(new Error("The request was cancelled"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isFinished) {
      controller.abort(new Error("The request was cancelled"));
    } else if (!this.#mayStart()) {
      this.#finish();
      const reason = "The endpoint closed before the request was written";
      this.#receiver.fail({ kind: TransportFailureKind.NotSent, reason });
      controller.abort(new Error(reason));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    const isInformational = status >= STATUS_INFORMATIONAL &&
      status < STATUS_OK;
    if (this.#isFinished || isInformational) {
      return;
    }
    this.#receiver.begin(status, headers, {
      pause: () => {
        this.#isPausedByReceiver = true;
        controller.pause();
      },
      resume: () => {
        this.#isPausedByReceiver = false;
        this.#resume();
      },
      recordPieces: (count) => this.#recordPieces(count),
      cancel: () => this.cancel(),
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (this.#isFinished) {
      return;
    }
    this.#countReceived(chunk.length);
    this.#pace.recordPieces(1, chunk.length);
    this.#keepPace();
    this.#receiver.receive(chunk);
  }

  onResponseEnd(): void {
    if (this.#isFinished) {
      return;
    }
    switch (this.#endState.current) {
      case ConnectionEnd.None:
        this.#finish();
        this.#receiver.end();
        return;
      case ConnectionEnd.Closed:
        void this.#judgeClosedAnswer();
        return;
      case ConnectionEnd.Reset:
        this.#failAnswer(
          "The connection was reset before the answer was complete",
        );
    }
  }

  /** A process that ends closes its connections like one that has said all. */
  async #judgeClosedAnswer(): Promise<void> {
    const reason = await this.#findEndOfProcess();
    if (this.#isFinished) {
      return;
    }
    if (reason !== undefined) {
      this.#failAnswer(
        `The endpoint ended with an answer that has no length: ${reason}`,
      );
      return;
    }
    this.#finish();
    this.#receiver.end();
  }

  #failAnswer(reason: string): void {
    this.#finish();
    this.#receiver.fail({ kind: TransportFailureKind.Broken, reason });
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isFinished) {
      return;
    }
    this.#finish();
    const kind = error instanceof ConnectError
      ? TransportFailureKind.NotSent
      : TransportFailureKind.Broken;
    this.#receiver.fail({ kind, reason: error.message });
  }

  #recordPieces(count: number): void {
    this.#pace.recordPieces(count, 0);
    this.#keepPace();
  }

  /** Pauses an answer that is ahead of its pace. */
  #keepPace(): void {
    if (!this.#pace.isExceeded || this.#paceTimer !== undefined) {
      return;
    }
    this.#controller?.pause();
    this.#paceTimer = setTimeout(() => {
      this.#paceTimer = undefined;
      this.#resume();
    }, this.#pace.computePause());
  }

  /** Goes on with the answer if nothing pauses it any more. */
  #resume(): void {
    const isPaused = this.#isPausedByReceiver || this.#paceTimer !== undefined;
    if (!isPaused && !this.#isFinished) {
      this.#controller?.resume();
    }
  }

  #finish(): void {
    this.#isFinished = true;
    clearTimeout(this.#paceTimer);
  }
}
