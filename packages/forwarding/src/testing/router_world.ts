/** Routers with endpoints and a store on loopback. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request as sendRequest,
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
import { MemoryFeed } from "./memory_feed.ts";
import { TestDialect, TestRowDecoder } from "./test_dialect.ts";

const HOST = "127.0.0.1";
const FLEET_KEY = "a-fleet-key-for-tests-with-32-characters";
const POLL_MILLISECONDS = 5;

/** A request as an endpoint saw it. */
export interface Arrival {
  endpoint: string;
  request: IncomingMessage;
  body: string;
}

/** How an endpoint answers. */
export type Behaviour = (
  arrival: Arrival,
  response: ServerResponse,
) => void | Promise<void>;

/** What a caller got. */
export interface CallerResult {
  /** 0 when the connection ended without a head. */
  status: number;
  headers: IncomingMessage["headers"];
  body: string;
  /** The answer ended as its head said. */
  isWhole: boolean;
}

interface RunningRouter {
  settings: ForwardingSettings;
  ending: AbortController;
  ended: Promise<void>;
}

/** Everything that one test runs. */
export class RouterWorld {
  readonly feed = new MemoryFeed();
  readonly arrivals: Arrival[] = [];
  readonly #servers: Server[] = [];
  readonly #routers: RunningRouter[] = [];

  /** Starts an endpoint and registers it. */
  async startEndpoint(
    id: string,
    behave: Behaviour,
    changes: Partial<EndpointRecord> = {},
  ): Promise<Server> {
    const server = createServer(async (request, response) => {
      let body = "";
      for await (const chunk of request) {
        body += chunk;
      }
      const arrival = { endpoint: id, request, body };
      this.arrivals.push(arrival);
      await behave(arrival, response);
    });
    server.listen(0, HOST);
    await once(server, "listening");
    this.#servers.push(server);
    const { port } = server.address() as AddressInfo;
    this.feed.put("endpoints", id, buildEndpoint(id, { port, ...changes }));
    return server;
  }

  /** Puts a configuration in force; its service is a plain one. */
  configure(changes: Partial<ForwardingConfiguration> = {}): void {
    const services = [buildService({ engine: undefined })];
    const configuration = buildConfiguration({ services, ...changes });
    this.feed.put("operator", "configuration", configuration);
  }

  /** Starts a router; returns it once it listens. */
  async startRouter(
    options: { feed?: MemoryFeed; seeds?: ForwardingSettings[] } = {},
  ): Promise<RunningRouter> {
    const settings = await buildSettings(options.seeds ?? []);
    const router = new ForwardingRouter({
      settings,
      dialect: new TestDialect(),
      decoder: new TestRowDecoder(),
      createFeed: () => options.feed ?? this.feed,
      clock: new SystemClock(),
      logger: createSilentLogger(),
    });
    const ending = new AbortController();
    const running = { settings, ending, ended: router.run(ending.signal) };
    this.#routers.push(running);
    await waitUntil(async () => (await this.readReadiness(running)) !== 0);
    return running;
  }

  /** Starts a router and waits until it is ready. */
  async startReadyRouter(
    options: { feed?: MemoryFeed; seeds?: ForwardingSettings[] } = {},
  ): Promise<RunningRouter> {
    const router = await this.startRouter(options);
    await waitUntil(async () => (await this.readReadiness(router)) === 200);
    return router;
  }

  /** The status of the readiness check; 0 when nobody listens. */
  async readReadiness({ settings }: RunningRouter): Promise<number> {
    const { host, port } = settings.readiness;
    const result = await sendCall({ host, port, path: settings.readinessPath });
    return result.status;
  }

  /** Sends a request as a caller. */
  async call(
    { settings }: RunningRouter,
    options: Partial<CallOptions> = {},
  ): Promise<CallerResult> {
    return await sendCall({
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

  /** Ends all that runs. */
  async stop(): Promise<void> {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
    for (const { ending } of this.#routers) {
      ending.abort();
    }
    await Promise.all(this.#routers.map(({ ended }) => ended));
  }
}

/** How a caller sends. */
export interface CallOptions {
  host: string;
  port: number;
  path: string;
  method: string;
  headers: Record<string, string>;
  body: string;
  /** Leaves when this aborts. */
  signal: AbortSignal;
}

/** Sends one request on a connection of its own. */
export function sendCall(
  options: Partial<CallOptions> & { host: string; port: number },
): Promise<CallerResult> {
  return new Promise((resolve) => {
    const result = { status: 0, headers: {}, body: "", isWhole: false };
    const request = sendRequest({
      host: options.host,
      port: options.port,
      path: options.path ?? "/",
      method: options.method ?? "POST",
      headers: options.headers ?? {},
      agent: false,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    }, (response) => {
      Object.assign(result, {
        status: response.statusCode ?? 0,
        headers: response.headers,
      });
      response.on("data", (chunk) => result.body += chunk);
      response.on("error", () => resolve(result));
      response.on("end", () => resolve({ ...result, isWhole: true }));
    });
    request.on("error", () => resolve(result));
    request.end(options.body ?? "");
  });
}

/** Waits for a condition. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  while (!await condition()) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

/** Answers as a sound endpoint does. */
export function sendSound(
  { endpoint, request }: Arrival,
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
      vm: `${HOST}:${control}`,
      zone: "zone-a",
      host: HOST,
      controlPort: control ?? 0,
      callerPort: callers ?? 0,
    },
    zone: "zone-a",
    callers: { host: HOST, port: callers ?? 0 },
    readiness: { host: HOST, port: readiness ?? 0 },
    readinessPath: "/ready",
    control: { host: HOST, port: control ?? 0 },
    seeds: seeds.map((seed) => seed.self),
    fleetKeys: [FLEET_KEY],
    bounds: {
      revocationMilliseconds: 1_300,
      retries: { windowMilliseconds: 10_000, ratio: 0.2, extra: 50 },
      coldFactor: 1.5,
      coldExtra: 50,
      sharePeriodMilliseconds: 4_000,
      graceMilliseconds: 1_000,
    },
  };
}

async function findFreePort(): Promise<number> {
  const server = createSocketServer();
  server.listen(0, HOST);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
