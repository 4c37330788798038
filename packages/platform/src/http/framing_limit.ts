/** Pools whose answers are limited, and whose paused answers may end. */

import type { Socket } from "node:net";
import { type buildConnector, type Dispatcher, Pool } from "undici";

/** More than the headers that are accepted, interim answers included. */
const MAX_FRAMING_BYTES = 64 * 1024;
const RESET_CODE = "ECONNRESET";
/** A code for which undici does not parse on. */
const RESET_WHILE_PAUSED_CODE = "ECONNRESET_WHILE_PAUSED";

/** Thrown into a connection that delivers too much besides bodies. */
export class FramingLimitError extends Error {
  constructor() {
    super(
      `The answer has more than ${MAX_FRAMING_BYTES} bytes of HTTP framing ` +
        "beyond the length of its body; check the endpoint",
    );
  }
}

/** A pool whose answers are limited. */
export interface LimitedPool {
  /** Closes the connections. */
  pool: Pool;
  /** Sends requests over the pool's connections. */
  dispatcher: Dispatcher;
}

/** Options of a limited pool. */
export interface LimitedPoolOptions extends Omit<Pool.Options, "connect"> {
  connect: buildConnector.connector;
}

/**
 * Creates a pool that fails an answer with a {@link FramingLimitError} when it
 * consists of much more than its body.
 */
export function createLimitedPool(
  origin: string,
  options: LimitedPoolOptions,
): LimitedPool {
  const limiter = new FramingLimiter();
  const pool = new Pool(origin, {
    ...options,
    connect: (target, callback) => {
      options.connect(target, (...result) => {
        if (result[1] !== null) {
          limiter.watch(result[1]);
        }
        callback(...result);
      });
    },
  });
  return { pool, dispatcher: pool.compose(limiter.interceptor) };
}

/** The current answer on one connection, and its bytes. */
class ConnectionFraming {
  readonly #socket: Socket;
  /** Undefined between two answers. */
  controller: Dispatcher.DispatchController | undefined;
  /** Bytes that were parsed before the current answer. */
  #earlierBytes = 0;
  #bodyBytes = 0;

  constructor(socket: Socket) {
    this.#socket = socket;
  }

  /** Closes the connection when the answer exceeds the limit. */
  check(): void {
    const framingBytes = this.#parsedBytes - this.#earlierBytes -
      this.#bodyBytes;
    if (framingBytes > MAX_FRAMING_BYTES + this.#bodyBytes) {
      this.#socket.destroy(new FramingLimitError());
    }
  }

  /** Counts a part of the answer's body. */
  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /**
   * undici's parser must not be paused when its connection ends: it throws an
   * assertion then that nothing catches.
   */
  prepareForEnd(error?: NodeJS.ErrnoException): void {
    if (this.controller?.paused !== true) {
      return;
    }
    if (error === undefined) {
      this.controller.resume();
    } else if (error.code === RESET_CODE) {
      error.code = RESET_WHILE_PAUSED_CODE;
    }
  }

  /** Starts counting for the next answer. */
  restart(): void {
    this.controller = undefined;
    this.#earlierBytes = this.#parsedBytes;
    this.#bodyBytes = 0;
  }

  get #parsedBytes(): number {
    return this.#socket.bytesRead - this.#socket.readableLength;
  }
}

/**
 * Limits what a pool's connections deliver for one answer besides its body:
 * status lines, headers, interim answers, chunk sizes and extensions. undici
 * limits headers alone, and reports the others to nobody, so that they could go
 * on without end. Small chunks count as well, since each takes time of its own.
 */
class FramingLimiter {
  /** The connection whose bytes are being parsed. */
  #current: ConnectionFraming | undefined;

  /** Watches a connection; to be called before undici listens to it. */
  watch(socket: Socket): void {
    const framing = new ConnectionFraming(socket);
    socket.on("readable", () => {
      framing.check();
      // undici's listener runs next and calls the handlers of the answer.
      this.#current = framing;
      queueMicrotask(() => this.#current = undefined);
    });
    socket.on("end", () => framing.prepareForEnd());
    socket.on("error", (error) => framing.prepareForEnd(error));
  }

  /** Counts the bodies of a pool's answers; for `compose` of undici. */
  get interceptor(): Dispatcher.DispatcherComposeInterceptor {
    return (dispatch) => (options, handler) =>
      dispatch(options, new CountingHandler(handler, () => this.#current));
  }
}

/** Passes the events of an answer on and counts its body. */
class CountingHandler implements Dispatcher.DispatchHandler {
  readonly #handler: Dispatcher.DispatchHandler;
  readonly #findCurrent: () => ConnectionFraming | undefined;
  #framing: ConnectionFraming | undefined;

  constructor(
    handler: Dispatcher.DispatchHandler,
    findCurrent: () => ConnectionFraming | undefined,
  ) {
    this.#handler = handler;
    this.#findCurrent = findCurrent;
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
    this.#framing ??= this.#findCurrent();
    if (this.#framing !== undefined) {
      this.#framing.controller = controller;
    }
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
    this.#framing?.addBody(chunk.length);
    this.#handler.onResponseData?.(controller, chunk);
  }

  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string | string[]>,
  ): void {
    this.#framing?.restart();
    this.#handler.onResponseEnd?.(controller, trailers);
  }

  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#handler.onResponseError?.(controller, error);
  }
}
