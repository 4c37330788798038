/** An HTTP server that can vanish and return on the same port. */

import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { type Clock, describeError } from "@rattanvane/base";
import { HttpExchange, HttpProblem } from "./http_exchange.ts";

const PORT_RETRY_MILLISECONDS = 20;
const PORT_IN_USE = "EADDRINUSE";

/** Answers one request; a thrown HttpProblem becomes the answer. */
export type ExchangeHandler = (exchange: HttpExchange) => Promise<void>;

/** Where a server listens. */
export interface ListenOptions {
  host: string;
  /** 0 takes any free port. */
  port: number;
}

/** Listens until its signal aborts; may close and reopen meanwhile. */
export class RestartableServer {
  readonly #handler: ExchangeHandler;
  readonly #clock: Clock;
  readonly #signal: AbortSignal;
  readonly #sockets = new Set<Socket>();
  readonly #host: string;
  #port: number;
  #server: Server | undefined;
  /** Counts the drops, so that a newer one overrules an older return. */
  #drops = 0;

  constructor(
    handler: ExchangeHandler,
    options: ListenOptions & { clock: Clock },
    signal: AbortSignal,
  ) {
    this.#handler = handler;
    this.#host = options.host;
    this.#port = options.port;
    this.#clock = options.clock;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.drop(), { once: true });
  }

  /** The port; known once the server has listened. */
  get port(): number {
    return this.#port;
  }

  /** Opens the port; waits while another process holds it. */
  async listen(): Promise<void> {
    const drops = this.#drops;
    while (!this.#signal.aborted && drops === this.#drops) {
      const server = createServer((request, response) => {
        // A peer that goes away in the middle is an ordinary event here.
        response.on("error", () => {});
        void this.#answer(new HttpExchange(request, response));
      });
      server.on("connection", (socket) => this.#track(socket));
      const failure = await this.#open(server);
      if (failure === undefined) {
        this.#adopt(server, drops);
        return;
      }
      if (failure.code !== PORT_IN_USE) {
        throw failure;
      }
      await this.#clock.sleep(PORT_RETRY_MILLISECONDS, this.#signal);
    }
  }

  /**
   * Drops everything and returns after a time, unless it is dropped again
   * meanwhile; that drop's own return counts then.
   */
  async vanish(
    milliseconds: number,
    beforeReturn: () => void,
  ): Promise<void> {
    this.drop();
    const drops = this.#drops;
    await this.#clock.sleep(milliseconds, this.#signal);
    if (drops === this.#drops) {
      beforeReturn();
      await this.listen();
    }
  }

  /** Closes the port and resets every connection at once. */
  drop(): void {
    this.#drops++;
    this.#server?.close();
    this.#server = undefined;
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  #adopt(server: Server, drops: number): void {
    if (drops !== this.#drops) {
      server.close();
      return;
    }
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  #open(server: Server): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise((resolve) => {
      server.once("error", resolve);
      server.listen(this.#port, this.#host, () => {
        server.off("error", resolve);
        resolve(undefined);
      });
    });
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
  }

  async #answer(exchange: HttpExchange): Promise<void> {
    try {
      await this.#handler(exchange);
    } catch (error) {
      if (exchange.response.headersSent || exchange.response.destroyed) {
        exchange.cut();
        return;
      }
      const status = error instanceof HttpProblem ? error.status : 500;
      exchange.sendJson(status, { error: { message: describeError(error) } });
    }
  }
}
