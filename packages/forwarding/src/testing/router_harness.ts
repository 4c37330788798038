/** Test harness that runs routers, endpoints and a store on loopback. */

import { once } from "node:events";
import {
  type Agent,
  createServer,
  type IncomingMessage,
  request as createRequest,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, createServer as createSocketServer } from "node:net";
import { createSilentLogger, SystemClock } from "@rattanvane/base";
import { ForwardingRouter } from "../forwarding_router.ts";
import type { ForwardingSettings } from "../forwarding_settings.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import type { ForwardingConfiguration } from "../model/route.ts";
import { buildConfiguration, buildEndpoint, buildService } from "./fixtures.ts";
import type { Dialect } from "../model/dialect.ts";
import { MemoryFeed } from "./memory_feed.ts";
import { TestDialect, TestRowDecoder } from "./test_dialect.ts";

const LOOPBACK_HOST = "127.0.0.1";
const FLEET_KEY = "a-fleet-key-for-tests-with-32-characters";
const POLL_INTERVAL_MILLISECONDS = 5;

/** A request as an endpoint received it. */
export interface ReceivedRequest {
  endpoint: string;
  request: IncomingMessage;
  body: string;
}

/** Responds to a request on behalf of an endpoint. */
export type EndpointHandler = (
  received: ReceivedRequest,
  response: ServerResponse,
) => void | Promise<void>;

/** The response as a caller received it. */
export interface CallerResponse {
  /** 0 when the connection ended without a response head. */
  status: number;
  headers: IncomingMessage["headers"];
  body: string;
  /** Whether the body ended as its headers announced. */
  isComplete: boolean;
}

interface RunningRouter {
  settings: ForwardingSettings;
  shutdown: AbortController;
  finished: Promise<void>;
}

/** The store, endpoints and routers of one test. */
export class RouterHarness {
  readonly feed = new MemoryFeed();
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly #servers: Server[] = [];
  readonly #routers: RunningRouter[] = [];

  /** Starts an endpoint and registers it. */
  async startEndpoint(
    id: string,
    handler: EndpointHandler,
    changes: Partial<EndpointRecord> = {},
  ): Promise<Server> {
    const server = createServer(async (request, response) => {
      let body = "";
      for await (const chunk of request) {
        body += chunk;
      }
      const received = { endpoint: id, request, body };
      this.receivedRequests.push(received);
      await handler(received, response);
    });
    server.listen(0, LOOPBACK_HOST);
    await once(server, "listening");
    this.#servers.push(server);
    const { port } = server.address() as AddressInfo;
    this.feed.put("endpoints", id, buildEndpoint(id, { port, ...changes }));
    return server;
  }

  /** Publishes a configuration whose service is not a model service. */
  applyConfiguration(changes: Partial<ForwardingConfiguration> = {}): void {
    const services = [buildService({ engine: undefined })];
    const configuration = buildConfiguration({ services, ...changes });
    this.feed.put("operator", "configuration", configuration);
  }

  /** Starts a router and waits until it listens. */
  async startRouter(
    options: StartOptions = {},
  ): Promise<RunningRouter> {
    const settings = {
      ...await buildSettings(options.seeds ?? []),
      ...options.settings,
    };
    const router = new ForwardingRouter({
      settings,
      dialect: options.dialect ?? new TestDialect(),
      decoder: new TestRowDecoder(),
      createFeed: () => options.feed ?? this.feed,
      clock: new SystemClock(),
      logger: createSilentLogger(),
    });
    const shutdown = new AbortController();
    const running = {
      settings,
      shutdown,
      finished: router.run(shutdown.signal),
    };
    this.#routers.push(running);
    await waitUntil(async () =>
      (await this.readReadinessStatus(running)) !== 0
    );
    return running;
  }

  /** Starts a router and waits until it is ready. */
  async startReadyRouter(
    options: StartOptions = {},
  ): Promise<RunningRouter> {
    const router = await this.startRouter(options);
    await waitUntil(async () =>
      (await this.readReadinessStatus(router)) === 200
    );
    return router;
  }

  /** Returns the status of the readiness check; 0 when nothing listens. */
  async readReadinessStatus({ settings }: RunningRouter): Promise<number> {
    const { host, port } = settings.readiness;
    const result = await sendRequest({
      host,
      port,
      path: settings.readinessPath,
    });
    return result.status;
  }

  /** Sends a request as a caller. */
  async send(
    { settings }: RunningRouter,
    options: Partial<CallerRequestOptions> = {},
  ): Promise<CallerResponse> {
    return await sendRequest({
      ...settings.callers,
      path: "/a/x?q=1",
      ...options,
      headers: {
        host: "one.example",
        "x-key": "key-1",
        "x-request": "r1",
        ...options.headers,
      },
    });
  }

  /** Stops all endpoints and routers. */
  async stop(): Promise<void> {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    for (const { shutdown } of this.#routers) {
      shutdown.abort();
    }
    await Promise.all(this.#routers.map(({ finished }) => finished));
  }
}

/** What a router starts with. */
export interface StartOptions {
  feed?: MemoryFeed;
  seeds?: ForwardingSettings[];
  dialect?: Dialect;
  /** Settings that differ from those of all tests. */
  settings?: Partial<ForwardingSettings>;
}

/** A caller's request. */
export interface CallerRequestOptions {
  host: string;
  port: number;
  path: string;
  method: string;
  headers: Record<string, string>;
  body: string;
  /** Keeps the connection; without one, it is closed after the response. */
  agent: Agent;
  /** The caller disconnects when this aborts. */
  signal: AbortSignal;
}

/** Sends one request on a new connection. */
export function sendRequest(
  options: Partial<CallerRequestOptions> & { host: string; port: number },
): Promise<CallerResponse> {
  return new Promise((resolve) => {
    const result = { status: 0, headers: {}, body: "", isComplete: false };
    const request = createRequest({
      host: options.host,
      port: options.port,
      path: options.path ?? "/",
      method: options.method ?? "POST",
      headers: options.headers ?? {},
      agent: options.agent ?? false,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    }, (response) => {
      Object.assign(result, {
        status: response.statusCode ?? 0,
        headers: response.headers,
      });
      response.on("data", (chunk) => result.body += chunk);
      response.on("error", () => resolve(result));
      response.on("end", () => resolve({ ...result, isComplete: true }));
    });
    request.on("error", () => resolve(result));
    request.end(options.body ?? "");
  });
}

/** Resolves when a condition holds. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) {
    await new Promise((resolve) =>
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS)
    );
  }
}

/** Sends a complete, sealed response. */
export function sendValidResponse(
  { endpoint, request }: ReceivedRequest,
  response: ServerResponse,
): void {
  response.writeHead(200, {
    "x-seal": `seal-of-${endpoint}`,
    "x-request": String(request.headers["x-request"]),
  });
  response.end(`answer of ${endpoint}`);
}

async function buildSettings(
  seeds: ForwardingSettings[],
): Promise<ForwardingSettings> {
  const [callers, readiness, control] = await Promise.all([
    findFreePort(),
    findFreePort(),
    findFreePort(),
  ]);
  return {
    self: {
      vm: `${LOOPBACK_HOST}:${control}`,
      zone: "zone-a",
      host: LOOPBACK_HOST,
      controlPort: control ?? 0,
      callerPort: callers ?? 0,
    },
    zone: "zone-a",
    zones: ["zone-a"],
    callers: { host: LOOPBACK_HOST, port: callers ?? 0 },
    readiness: { host: LOOPBACK_HOST, port: readiness ?? 0 },
    readinessPath: "/ready",
    control: { host: LOOPBACK_HOST, port: control ?? 0 },
    seeds: seeds.map((seed) => seed.self),
    fleetKeys: [FLEET_KEY],
    bounds: {
      revocationMilliseconds: 1_300,
      retries: { windowMilliseconds: 10_000, ratio: 0.2, extra: 50 },
      coldRateFactor: 1.5,
      coldExtraRequestsPerSecond: 50,
      sharePeriodMilliseconds: 4_000,
      graceMilliseconds: 1_000,
    },
  };
}

/** Finds a port of the loopback interface that nothing listens on. */
export async function findFreePort(): Promise<number> {
  const server = createSocketServer();
  server.listen(0, LOOPBACK_HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
