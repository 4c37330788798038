/** Sends requests to endpoints over keep-alive connections. */

import {
  addAbortListener,
  type CheckedPool,
  ConnectError,
  createCheckedPool,
  createConnector,
} from "@rattanvane/platform";
import type { Dispatcher } from "undici";
import { type Clock, SystemClock } from "@rattanvane/base";
import type { AnswerHeaders } from "../model/dialect.ts";
import { AnswerPace } from "./answer_pace.ts";

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

/** Optional callbacks of an {@link EndpointTransport}. */
export interface EndpointTransportOptions {
  /** Counts bytes of answers as they are received. */
  countReceived?: (bytes: number) => void;
}

/** Keeps one connection pool for each address. */
export class EndpointTransport {
  readonly #pools = new Map<string, CheckedPool>();
  readonly #clock: Clock = new SystemClock();
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
      clock: this.#clock,
      mayStart: request.mayStart ?? (() => true),
      countReceived: this.#countReceived,
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

  /** Returns undefined for an address to which nothing can be sent. */
  #findOrCreatePool(address: string): CheckedPool | undefined {
    const existing = this.#pools.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const url = `http://${address}`;
    if (!URL.canParse(url)) {
      return undefined;
    }
    const pool = createCheckedPool(url, {
      signal: this.#signal,
      connect: createConnector({
        connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
        localAddress: this.#localAddress,
      }),
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

interface AnswerHandlerOptions {
  clock: Clock;
  mayStart: () => boolean;
  countReceived: (bytes: number) => void;
}

/** Forwards undici's events until the request ends or is cancelled. */
class AnswerHandler implements Dispatcher.DispatchHandler, SentRequest {
  readonly #receiver: AnswerReceiver;
  readonly #mayStart: () => boolean;
  readonly #countReceived: (bytes: number) => void;
  readonly #pace: AnswerPace;
  #controller: Dispatcher.DispatchController | undefined;
  /** Whether the receiver, and the pace of the answer, have paused it. */
  #isPausedByReceiver = false;
  #paceTimer: NodeJS.Timeout | undefined;
  #isFinished = false;

  constructor(
    receiver: AnswerReceiver,
    { clock, mayStart, countReceived }: AnswerHandlerOptions,
  ) {
    this.#receiver = receiver;
    this.#mayStart = mayStart;
    this.#countReceived = countReceived;
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
    this.#finish();
    this.#receiver.end();
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
