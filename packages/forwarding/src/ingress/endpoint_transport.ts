/** Sends attempts to endpoints over kept connections. */

import {
  addAbortListener,
  ConnectError,
  createConnector,
} from "@rattanvane/platform";
import { type buildConnector, type Dispatcher, Pool } from "undici";
import type { AnswerHeaders } from "../model/dialect.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 400;
const IDLE_TIMEOUT_MILLISECONDS = 4_000;
/** The endpoint's own idle time-out is undercut by this. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

/** What is sent to an endpoint. */
export interface AttemptContent {
  method: string;
  target: string;
  /** Names and values in turn. */
  headers: string[];
  body: Uint8Array;
}

/** How an attempt broke. */
export enum BreakKind {
  /** Nothing was sent. */
  NotSent = "notSent",
  /** The connection broke, or what came is no answer. */
  Broken = "broken",
}

/** An attempt ended without a whole answer. */
export interface AttemptBreak {
  kind: BreakKind;
  reason: string;
}

/** Lets the receiver of an answer slow it down or end it. */
export interface AnswerControl {
  pause(): void;
  resume(): void;
  /** Closes the connection; nothing more is received. */
  cancel(): void;
}

/** Receives the parts of an answer in order. */
export abstract class AnswerReceiver {
  abstract begin(
    status: number,
    headers: AnswerHeaders,
    control: AnswerControl,
  ): void;
  abstract receive(chunk: Uint8Array): void;
  abstract end(): void;
  abstract fail(cause: AttemptBreak): void;
}

/** An attempt on its way. */
export interface SentAttempt {
  /** Closes the connection; the receiver hears nothing more. */
  cancel(): void;
}

/** Whether a connection is being reset at the moment. */
interface ResetMark {
  isResetting: boolean;
}

/** One pool of connections for each address. */
export class EndpointTransport {
  readonly #mark: ResetMark = { isResetting: false };
  readonly #pools = new Map<string, Pool>();
  readonly #localAddress: string;
  readonly #signal: AbortSignal;

  /** Connections are made from the local address, and closed on abort. */
  constructor(localAddress: string, signal: AbortSignal) {
    this.#localAddress = localAddress;
    this.#signal = signal;
  }

  /** Sends an attempt; the receiver hears of its end exactly once. */
  send(
    address: string,
    content: AttemptContent,
    receiver: AnswerReceiver,
  ): SentAttempt {
    const handler = new AnswerHandler(receiver, this.#mark);
    const isEmpty = content.body.length === 0;
    this.#findPool(address).dispatch({
      method: content.method as Dispatcher.HttpMethod,
      path: content.target,
      headers: content.headers,
      body: isEmpty ? null : content.body,
      headersTimeout: 0,
      bodyTimeout: 0,
    }, handler);
    return handler;
  }

  /** Closes the connections to an address that is no longer used. */
  forget(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    void pool?.close();
  }

  /**
   * undici takes an answer without a length for whole when its connection is
   * reset. The mark is set while the listeners of a reset connection run.
   */
  #createConnector(): buildConnector.connector {
    const connect = createConnector({
      connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      localAddress: this.#localAddress,
    });
    return (target, callback) => {
      connect(target, (...[error, socket]) => {
        if (error !== null) {
          callback(error, null);
          return;
        }
        socket.on("error", () => this.#markReset());
        callback(null, socket);
      });
    };
  }

  #markReset(): void {
    this.#mark.isResetting = true;
    queueMicrotask(() => this.#mark.isResetting = false);
  }

  #findPool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known !== undefined) {
      return known;
    }
    const pool = new Pool(`http://${address}`, {
      connect: this.#createConnector(),
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MILLISECONDS,
      allowH2: false,
    });
    this.#pools.set(address, pool);
    addAbortListener(this.#signal, () => void pool.destroy());
    return pool;
  }
}

/** Passes undici's events on until the attempt ends or is cancelled. */
class AnswerHandler implements Dispatcher.DispatchHandler, SentAttempt {
  readonly #receiver: AnswerReceiver;
  readonly #mark: ResetMark;
  #controller: Dispatcher.DispatchController | undefined;
  #isOver = false;

  constructor(receiver: AnswerReceiver, mark: ResetMark) {
    this.#receiver = receiver;
    this.#mark = mark;
  }

  cancel(): void {
    this.#isOver = true;
    this.#controller?.abort(new Error("The attempt was cancelled"));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isOver) {
      controller.abort(new Error("The attempt was cancelled"));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (this.#isOver || status < 200) {
      return;
    }
    this.#receiver.begin(status, headers, {
      pause: () => controller.pause(),
      resume: () => controller.resume(),
      cancel: () => this.cancel(),
    });
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (!this.#isOver) {
      this.#receiver.receive(chunk);
    }
  }

  onResponseEnd(): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    if (this.#mark.isResetting) {
      const reason = "The connection was reset before the answer's end";
      this.#receiver.fail({ kind: BreakKind.Broken, reason });
      return;
    }
    this.#receiver.end();
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    const kind = error instanceof ConnectError
      ? BreakKind.NotSent
      : BreakKind.Broken;
    this.#receiver.fail({ kind, reason: error.message });
  }
}
