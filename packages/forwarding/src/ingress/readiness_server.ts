/** The HTTP server for the load balancer's readiness checks and metrics. */

import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Registry } from "prom-client";
import type { ListenAddress } from "../forwarding_settings.ts";

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_UNAVAILABLE = 503;
const METRICS_PATH = "/metrics";

/** The address, path and data sources of a {@link ReadinessServer}. */
export interface ReadinessServerOptions {
  listen: ListenAddress;
  readinessPath: string;
  /** Why the VM is not ready; undefined when it is. */
  describeNotReady: () => string | undefined;
  registry: Registry;
}

/** Serves readiness and metrics on an address apart from the callers'. */
export class ReadinessServer {
  readonly #options: ReadinessServerOptions;
  readonly #server: Server;

  constructor(options: ReadinessServerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      void this.#handle(request.url ?? "/", response);
    });
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
