/** The HTTP server for callers, the load balancer and operators. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { ChildAbort, describeError, type Logger } from "@rattanvane/base";
import {
  type CallerMemory,
  type CallerShare,
  RequestTurns,
  waitForClose,
} from "@rattanvane/limits";
import { Answer, type AnswerLimits, convertToCallerError } from "./answer.ts";
import { CallerError, CallerErrorKind } from "./caller_error.ts";
import { convertClientError, sendClientError } from "./client_error.ts";
import { createRequestId } from "./request_id.ts";

/** One request and its response. */
export interface CallerExchange {
  request: IncomingMessage;
  answer: Answer;
  requestId: string;
  /** The URL's path, without its query. */
  path: string;
  /** Counts the bytes that are held for the request. */
  share: CallerShare;
}

/** Handles the requests of a set of paths. */
export abstract class CallerHandler {
  /** Whether this handler is responsible for a path. */
  abstract matches(path: string): boolean;

  /** The accepted methods; `*` accepts any. */
  abstract readonly methods: readonly string[];

  /** Handles a request; a thrown CallerError is sent as the response. */
  abstract handle(exchange: CallerExchange, signal: AbortSignal): Promise<void>;
}

/** Settings and dependencies of the server. */
export interface CallerServerOptions {
  host: string;
  port: number;
  headerBytes: number;
  headersTimeoutMilliseconds: number;
  answers: AnswerLimits;
  /** Limits the bytes that are held for all callers. */
  memory: CallerMemory;
  handlers: readonly CallerHandler[];
  /** Called with the kind of each error that is sent to a caller. */
  countError: (kind: CallerErrorKind) => void;
  logger: Logger;
}

/** Accepts connections and passes each request to its handler. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #turns: RequestTurns;
  #lifetime: AbortSignal = AbortSignal.abort();
  /** The request in progress on each connection. */
  readonly #requests = new Map<Duplex, IncomingMessage>();
  #closing = false;
  #active = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#turns = new RequestTurns(options.memory);
    this.#server = createServer({
      maxHeaderSize: options.headerBytes,
      headersTimeout: options.headersTimeoutMilliseconds,
      // readBody limits the time that a body may take.
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
        // The caller would take an error response for that of the request in
        // progress.
        socket.destroy();
        return;
      }
      sendClientError(socket, error);
    });
  }

  /** The number of requests in progress. */
  get active(): number {
    return this.#active;
  }

  /** Listens until the signal aborts; throws when the port is in use. */
  async start(signal: AbortSignal): Promise<void> {
    this.#lifetime = signal;
    this.#server.listen(this.#options.port, this.#options.host);
    await once(this.#server, "listening", { signal });
    signal.addEventListener("abort", () => {
      this.#server.close();
      this.#server.closeAllConnections();
    }, { once: true });
  }

  /** Closes each connection after its response; still accepts new ones. */
  closeAfterAnswers(): void {
    this.#closing = true;
  }

  /** Stops accepting connections and closes idle ones. */
  stopAccepting(): void {
    this.#closing = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const isBehind = response.socket === null;
    if (isBehind && !await this.#turns.wait(request, response)) {
      return;
    }
    const requestId = createRequestId();
    const { socket } = request;
    const share = this.#options.memory.createShare(() => socket.remoteAddress);
    const answer = new Answer(response, {
      request: requestId,
      limits: this.#options.answers,
      share,
    });
    const lifetime = new ChildAbort(this.#lifetime);
    waitForClose(response, () => lifetime.abort());
    if (this.#closing) {
      response.setHeader("connection", "close");
    }
    this.#active++;
    this.#requests.set(socket, request);
    waitForClose(response, () => {
      this.#requests.delete(socket);
      share.close();
    });
    try {
      const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
      const handler = this.#findHandler(request, path);
      const exchange = { request, answer, requestId, path, share };
      await handler.handle(exchange, lifetime.signal);
    } catch (thrown) {
      this.#sendError(thrown, { answer, request, response });
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
        `No handler is registered for the path "${path}"`,
      );
    }
    const method = request.method ?? "";
    const accepted = handler.methods.includes("*") ||
      handler.methods.includes(method);
    if (!accepted) {
      throw new CallerError(
        CallerErrorKind.MethodNotAllowed,
        `The path "${path}" does not support the method "${method}"`,
      );
    }
    return handler;
  }

  #sendError(
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
      // The rest of the body is not read, so the connection can't be reused.
      response.setHeader("connection", "close");
    }
    answer.sendError(error);
  }
}
