/** Pools that deliver an answer as complete only if it is. */

import type { Socket } from "node:net";
import { type buildConnector, type Dispatcher, Pool } from "undici";
import { AnswerConnection, ConnectionEnd } from "./answer_connection.ts";
import { OpenConnections } from "./open_connections.ts";

const MIN_STATUS = 100;
const MAX_STATUS = 599;
const CHUNKED = "chunked";
const VALID_REASON = /^[\t\x20-\x7E\x80-\u{10FFFF}]*$/u;

/** Fails an answer that has ended before it was complete. */
export class BrokenAnswerError extends Error {}

/** Fails an answer whose head is not one that HTTP allows. */
export class InvalidAnswerError extends Error {}

/** A pool whose answers are checked. */
export interface CheckedPool {
  /** Closes the connections. */
  pool: Pool;
  /** Sends requests over the pool's connections. */
  dispatcher: Dispatcher;
}

/** Options of a checked pool. */
export interface CheckedPoolOptions extends Omit<Pool.Options, "connect"> {
  /** Connects to the server; see `createConnector`. */
  connect: buildConnector.connector;
  /** Ends the checks when the owner destroys the pool. */
  signal: AbortSignal;
}

/**
 * Creates a pool that fails an answer with a {@link BrokenAnswerError} when only
 * the end of its connection could show that it is complete and does not, with an
 * {@link InvalidAnswerError} when its head is invalid, and with a
 * `FramingLimitError` when it consists of much more than its body.
 */
export function createCheckedPool(
  origin: string,
  { signal, ...options }: CheckedPoolOptions,
): CheckedPool {
  const { connect } = options;
  const connections = new OpenConnections({ origin, connect, signal });
  const checker = new AnswerChecker(connections);
  const pool = new Pool(origin, {
    ...options,
    connect: (target, callback) => {
      connect(target, (...result) => {
        if (result[1] !== null) {
          checker.watch(result[1]);
        }
        callback(...result);
      });
    },
  });
  return { pool, dispatcher: pool.compose(checker.interceptor) };
}

/**
 * Checks what undici leaves to its callers. An answer without a length is
 * complete for it when its connection ends, however it does. It limits headers
 * alone: status lines, interim answers, chunk sizes and extensions are reported to
 * nobody and could go on without end. Small chunks count as well, since each takes
 * time of its own.
 */
class AnswerChecker {
  readonly #connections: OpenConnections;
  /** The connection whose bytes are being parsed. */
  #current: AnswerConnection | undefined;

  constructor(connections: OpenConnections) {
    this.#connections = connections;
  }

  /** Watches a connection; to be called before undici listens to it. */
  watch(socket: Socket): void {
    const connection = new AnswerConnection(socket);
    this.#connections.add(socket);
    socket.on("readable", () => {
      connection.check();
      // undici's listener runs next and calls the handlers of the answer.
      this.#current = connection;
      queueMicrotask(() => this.#current = undefined);
    });
    socket.on("end", () => connection.recordEnd());
    socket.on("error", (error) => connection.recordError(error));
  }

  /** Checks the answers of a pool; for `compose` of undici. */
  get interceptor(): Dispatcher.DispatcherComposeInterceptor {
    return (dispatch) => (options, handler) =>
      dispatch(
        options,
        new CheckedHandler(handler, {
          connections: this.#connections,
          findCurrent: () => this.#current,
        }),
      );
  }
}

interface CheckedHandlerOptions {
  connections: OpenConnections;
  findCurrent: () => AnswerConnection | undefined;
}

/** Passes the events of an answer on, and its end if it is complete. */
class CheckedHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #options: CheckedHandlerOptions;
  #connection: AnswerConnection | undefined;
  /** Whether the answer itself tells where its body ends. */
  #isDelimited = false;

  constructor(
    handler: Dispatcher.DispatchHandler,
    options: CheckedHandlerOptions,
  ) {
    this.#handler = handler;
    this.#options = options;
  }

  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#handler.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[]>,
    message?: string,
  ): void {
    const fault = findHeadFault(status, headers, message);
    if (fault !== undefined) {
      controller.abort(new InvalidAnswerError(fault));
      return;
    }
    this.#connection ??= this.#options.findCurrent();
    if (this.#connection !== undefined) {
      this.#connection.controller = controller;
    }
    this.#isDelimited = headers["content-length"] !== undefined ||
      headers["transfer-encoding"] !== undefined;
    this.#handler.onResponseStart?.(controller, status, headers, message);
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (chunk.length === 0) {
      // The parser, when it is resumed. Nothing may pause it again for this.
      return;
    }
    this.#connection?.addBody(chunk.length);
    this.#handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[]>,
  ): void {
    const end = this.#connection?.end ?? ConnectionEnd.None;
    this.#connection?.restart();
    if (this.#isDelimited || end === ConnectionEnd.None) {
      this.#handler.onResponseEnd?.(controller, trailers);
    } else if (end === ConnectionEnd.Reset) {
      this.#failAnswer(
        controller,
        "The connection was reset before the answer was complete",
      );
    } else {
      void this.#judgeClosedAnswer(controller, trailers);
    }
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#handler.onResponseError?.(controller, error);
  }

  /** A process that ends closes its connections like one that has said all. */
  async #judgeClosedAnswer(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[]>,
  ): Promise<void> {
    const reason = await this.#options.connections.findEndOfProcess();
    if (reason === undefined) {
      this.#handler.onResponseEnd?.(controller, trailers);
    } else {
      this.#failAnswer(
        controller,
        `The server ended with an answer that has no length: ${reason}`,
      );
    }
  }

  #failAnswer(
    controller: Dispatcher.DispatchController,
    reason: string,
  ): void {
    const error = new BrokenAnswerError(reason);
    this.#handler.onResponseError?.(controller, error);
  }
}

/**
 * Returns what is wrong with a head, if anything is. undici removes the chunks of
 * an answer with several transfer codings, and ignores the other codings.
 */
function findHeadFault(
  status: number,
  headers: Record<string, string | string[]>,
  reason = "",
): string | undefined {
  if (status < MIN_STATUS || status > MAX_STATUS) {
    return `The status ${status} is invalid`;
  }
  if (!VALID_REASON.test(reason)) {
    return "The reason phrase holds a control byte";
  }
  const coding = String(headers["transfer-encoding"] ?? CHUNKED);
  if (coding.toLowerCase() !== CHUNKED) {
    return `The transfer coding "${coding}" is not supported`;
  }
  return undefined;
}
