/** The HTTP server that callers, the balancer and operators reach. */

import { randomUUID } from "node:crypto";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { ChildAbort, describeError, type Logger } from "@rattanvane/base";
import { Answer, type AnswerLimits, convertToCallerError } from "./answer.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";
import { convertClientError, sendClientError } from "./client_error.ts";

/** One request with what a handler needs to answer it. */
export interface CallerExchange {
  request: IncomingMessage;
  answer: Answer;
  requestId: string;
  /** The URL's path, without its query. */
  path: string;
}

/** Answers the requests of some paths. */
export abstract class CallerHandler {
  /** Whether this handler answers a path. */
  abstract matches(path: string): boolean;

  /** The methods that it accepts; `*` for any. */
  abstract readonly methods: readonly string[];

  /** Answers; a thrown CallerError becomes the answer. */
  abstract handle(exchange: CallerExchange, signal: AbortSignal): Promise<void>;
}

/** Settings of the server. */
export interface CallerServerOptions {
  host: string;
  port: number;
  headerBytes: number;
  headersTimeoutMilliseconds: number;
  answers: AnswerLimits;
  handlers: readonly CallerHandler[];
  /** Called with the kind of each error that a caller is given. */
  countError: (kind: CallerErrorKind) => void;
  logger: Logger;
}

/** Accepts connections and finds the handler of each request. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  #lifetime: AbortSignal = AbortSignal.abort();
  /** The request that each connection is being answered. */
  readonly #requests = new Map<Duplex, IncomingMessage>();
  #closing = false;
  #active = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: options.headerBytes,
      headersTimeout: options.headersTimeoutMilliseconds,
      // Bodies have a time limit of their own.
      requestTimeout: 0,
      connectionsCheckingInterval: options.headersTimeoutMilliseconds / 2,
    });
    this.#server.on("request", (request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on("clientError", (thrown, socket) => {
      const error = convertClientError(thrown);
      options.countError(error.kind);
      if (this.#requests.get(socket)?.complete) {
        // An answer now would be taken for that of the request that runs.
        socket.destroy();
        return;
      }
      sendClientError(socket, error);
    });
  }

  /** How many requests are being answered. */
  get active(): number {
    return this.#active;
  }

  /** Listens until the signal aborts; throws when the port is taken. */
  async start(signal: AbortSignal): Promise<void> {
    this.#lifetime = signal;
    this.#server.listen(this.#options.port, this.#options.host);
    await once(this.#server, "listening", { signal });
    signal.addEventListener("abort", () => {
      this.#server.close();
      this.#server.closeAllConnections();
    }, { once: true });
  }

  /** Closes each connection after its answer; new ones are still taken. */
  closeAfterAnswers(): void {
    this.#closing = true;
  }

  /** Takes no new connections and closes the idle ones. */
  stopAccepting(): void {
    this.#closing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = randomUUID();
    const answer = new Answer(response, {
      request: requestId,
      limits: this.#options.answers,
    });
    const lifetime = new ChildAbort(this.#lifetime);
    response.once("close", () => lifetime.abort());
    if (this.#closing) {
      response.setHeader("connection", "close");
    }
    this.#active++;
    const { socket } = request;
    this.#requests.set(socket, request);
    response.once("close", () => this.#requests.delete(socket));
    try {
      const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
      const handler = this.#findHandler(request, path);
      const exchange = { request, answer, requestId, path };
      await handler.handle(exchange, lifetime.signal);
    } catch (thrown) {
      this.#answerError(thrown, { answer, request, response });
    } finally {
      this.#active--;
    }
  }

  #findHandler(request: IncomingMessage, path: string): CallerHandler {
    const handler = this.#options.handlers.find((candidate) =>
      candidate.matches(path)
    );
    if (handler === undefined) {
      throw new CallerError(
        CallerErrorKind.NotFound,
        `There is nothing at "${path}"`,
      );
    }
    const method = request.method ?? "";
    const accepted = handler.methods.includes("*") ||
      handler.methods.includes(method);
    if (!accepted) {
      throw new CallerError(
        CallerErrorKind.MethodNotAllowed,
        `"${path}" does not accept "${method}"`,
      );
    }
    return handler;
  }

  #answerError(
    thrown: unknown,
    exchange: {
      answer: Answer;
      request: IncomingMessage;
      response: ServerResponse;
    },
  ): void {
    const { answer, request, response } = exchange;
    const error = convertToCallerError(thrown);
    this.#options.countError(error.kind);
    if (error.kind === CallerErrorKind.Internal) {
      this.#options.logger.error("a request failed in the router", {
        request: answer.request,
        reason: describeError(thrown),
      });
    }
    if (!request.complete && !response.headersSent) {
      // The rest of the body is not read, so the connection can't be kept.
      response.setHeader("connection", "close");
    }
    answer.sendError(error);
  }
}
