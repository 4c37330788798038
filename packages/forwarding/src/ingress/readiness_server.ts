/** The HTTP server for the load balancer's readiness checks and metrics. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { ConnectionLimit } from "@rattanvane/base";
import type { Registry } from "prom-client";
import type { ListenAddress } from "../forwarding_settings.ts";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const METRICS_PATH = "/metrics";
/** Load balancers and those who read metrics need a few at a time. */
const MAX_CONNECTIONS = 16;

/** The address, path and data sources of a {@link ReadinessServer}. */
export interface ReadinessServerOptions {
  listen: ListenAddress;
  readinessPath: string;
  /** Why the VM is not ready; undefined when it is. */
  describeNotReady: () => string | undefined;
  registry: Registry;
}

/**
 * Serves readiness and metrics on an address apart from the callers'. A request
 * is answered before the next one of its connection is read; one with a body
 * ends its connection.
 */
export class ReadinessServer {
  readonly #options: ReadinessServerOptions;
  readonly #server: Server;
  readonly #connections = new ConnectionLimit(MAX_CONNECTIONS);

  constructor(options: ReadinessServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      if (response.socket === null) {
        // Behind a request that is not answered yet.
        request.socket.destroy();
        return;
      }
      this.#connections.add(request.socket);
      if (hasBody(request)) {
        response.setHeader("connection", "close");
      }
      void this.#handle(request.url ?? "/", response);
    });
    this.#server.on(
      "connection",
      (socket: Socket) => this.#connections.add(socket),
    );
  }

  /** Listens until the signal aborts; rejects when the port is in use. */
  async start(signal: AbortSignal): Promise<void> {
    const { host, port } = this.#options.listen;
    this.#server.listen(port, host);
    await once(this.#server, "listening", { signal });
    signal.addEventListener("abort", () => this.#server.close(), {
      once: true,
    });
  }

  async #handle(path: string, response: ServerResponse): Promise<void> {
    const { readinessPath, registry, describeNotReady } = this.#options;
    if (path === METRICS_PATH) {
      const text = await registry.metrics();
      response.writeHead(STATUS_OK, { "content-type": registry.contentType });
      response.end(text);
      return;
    }
    if (path !== readinessPath) {
      response.writeHead(STATUS_NOT_FOUND).end();
      return;
    }
    const obstacle = describeNotReady();
    const status = obstacle === undefined ? STATUS_OK : STATUS_UNAVAILABLE;
    response.writeHead(status, { "content-type": "text/plain" });
    response.end(`${obstacle ?? "ready"}\n`);
  }
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
