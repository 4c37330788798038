import { once } from "node:events";
import { createServer as createHttpServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { RouteTable } from "../model/route_table.ts";
import {
  buildConfiguration,
  buildRoute,
  createCallerMemory,
} from "../testing/fixtures.ts";
import {
  countEstablishedConnections,
  runDepartingCallers,
} from "../testing/departing_callers.ts";
import { runPressingCallers } from "../testing/pressing_callers.ts";
import {
  findFreePort,
  RouterHarness,
  sendValidResponse,
  waitUntil,
} from "../testing/router_harness.ts";
import { runBusyLoop, SlowDialect } from "../testing/slow_dialect.ts";
import { TestDialect } from "../testing/test_dialect.ts";
import { CallReader } from "./call_reader.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { ConnectionEvent } from "./ingress_load.ts";
import { IngressServer, type IngressServerOptions } from "./ingress_server.ts";

const CALLERS = 20;
const PIPELINED = 3;
const MANY_PIPELINED = 100;
/** The first one, and those that are begun behind it. */
const MAX_BEGUN_OF_CONNECTION = 5;
const SETTLING_MILLISECONDS = 300;
/** Longer than a connection that is refused unread may stay open. */
const REJECTED_BODY_MILLISECONDS = 4_000;
/** A VM that passes on 300 connections a second takes these within 0.2 s. */
const MAX_QUEUED_CONNECTIONS = 60;

const PRESSING_LOAD = {
  request: buildRequest("pressing"),
  keptCallers: 240,
  retryMilliseconds: 300,
  newPerSecond: 300,
  patienceMilliseconds: 1_000,
  warmUpMilliseconds: 2_000,
  milliseconds: 5_000,
};

/** The callers of one organisation begin together, and wait for a second. */
const BURST_LOAD = {
  ...PRESSING_LOAD,
  keptCallers: 0,
  newPerSecond: 1_000,
  patienceMilliseconds: 950,
  warmUpMilliseconds: 0,
  milliseconds: 300,
};
const ACCEPT_QUEUE = 256;
const MIN_ANSWERED_FRACTION = 0.95;

const HOST = "127.0.0.1";
const SERVING_MILLISECONDS = 6;
/** A VM that takes 6 ms for each of 400 callers a second serves 0.42 at best. */
const MIN_SERVED_FRACTION = 0.8;

let harness = new RouterHarness();

/** Load: a VM that was busy while callers sent their requests and gave up. */
describe("IngressServer", () => {
  beforeEach(() => {
    harness = new RouterHarness();
    harness.applyConfiguration({ routes: [buildRoute()] });
  });

  afterEach(() => harness.stop());

  it("sends no request on whose caller has left before it was read", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter();
    const first = await harness.send(router);
    expect(first.status).to.equal(200);
    const { host, port } = router.settings.callers;
    const requests = Array.from(
      { length: CALLERS },
      (_, index) => buildRequest(`departed-${index}`),
    );
    await runDepartingCallers({ host, port, requests });
    await new Promise((resolve) => setTimeout(resolve, SETTLING_MILLISECONDS));
    expect(harness.receivedRequests).to.have.lengthOf(1);
  });

  // A rejected request's body was read on for as long as its caller sent it.
  for (const path of ["/a/x", "/unknown"]) {
    it(`closes the connection of a caller that goes on sending a rejected body to ${path}`, async () => {
      const router = await harness.startReadyRouter();
      const { host, port } = router.settings.callers;
      const socket = connect(port, host);
      let received = "";
      socket.on("data", (chunk) => received += chunk);
      socket.on("error", () => socket.destroy());
      const closed = new Promise<true>((resolve) =>
        socket.once("close", () => resolve(true))
      );
      socket.write(
        `POST ${path} HTTP/1.1\r\nhost: one.example\r\nx-key: key-1\r\n` +
          "transfer-encoding: chunked\r\n\r\n",
      );
      const chunk = `1000\r\n${"x".repeat(0x1000)}\r\n`;
      const timer = setInterval(() => socket.write(chunk), 1);
      const timeout = new Promise<false>((resolve) =>
        setTimeout(() => resolve(false), REJECTED_BODY_MILLISECONDS)
      );
      const isClosed = await Promise.race([closed, timeout]);
      clearInterval(timer);
      socket.destroy();
      expect(received).to.match(/^HTTP\/1.1 4(04|13) /);
      expect(isClosed).to.equal(true);
    });
  }

  it("answers new connections while kept ones press it with requests", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter();
    const { tried, answered } = await runPressingCallers({
      ...router.settings.callers,
      ...PRESSING_LOAD,
    });
    expect(answered / tried).to.be.at.least(0.5);
  });

  it("answers new connections while requests take all of a slow processor", async () => {
    await harness.startEndpoint("e1", sendValidResponse);
    const router = await harness.startReadyRouter({
      dialect: new SlowDialect(),
    });
    const { tried, answered } = await runPressingCallers({
      ...router.settings.callers,
      ...PRESSING_LOAD,
    });
    expect(answered / tried).to.be.at.least(0.5);
  });

  it("has another VM serve the callers that it cannot", async () => {
    const peer = createHttpServer((_request, response) => response.end());
    peer.listen(0, HOST);
    await once(peer, "listening");
    const lifetime = new AbortController();
    const port = await startBusyServer(peer, {}, lifetime.signal);
    const { tried, served } = await runPressingCallers({
      ...PRESSING_LOAD,
      host: HOST,
      port,
      keptCallers: 0,
      newPerSecond: 400,
    });
    lifetime.abort();
    peer.close();
    expect(served / tried).to.be.at.least(MIN_SERVED_FRACTION);
  });

  it("ends all requests of a connection when their caller leaves", async () => {
    const lifetime = new AbortController();
    const port = await findFreePort();
    const signals: AbortSignal[] = [];
    const server = createIngress(port, {
      listPeers: () => [],
      serve: (_call, _answer, { signal }) => {
        signals.push(signal);
        return Promise.resolve();
      },
    });
    await server.start(lifetime.signal);
    const socket = connect(port, HOST);
    const requests = Array.from(
      { length: PIPELINED },
      (_, index) => buildRequest(`pipelined-${index}`),
    );
    socket.write(requests.join(""));
    await waitUntil(() => signals.length === PIPELINED);
    socket.destroy();
    await waitUntil(() => signals.every(({ aborted }) => aborted));
    expect(server.active).to.equal(0);
    lifetime.abort();
  });

  // Requests that one connection sent without end filled the memory of a VM.
  it("begins few requests of a connection at a time, in order, and all in the end", async () => {
    const lifetime = new AbortController();
    const port = await findFreePort();
    const begun: string[] = [];
    const answers: CallerAnswer[] = [];
    let most = 0;
    const server = createIngress(port, {
      listPeers: () => [],
      serve: (call, answer) => {
        begun.push(call.identity.request);
        answers.push(answer);
        most = Math.max(most, answers.length);
        return Promise.resolve();
      },
    });
    await server.start(lifetime.signal);
    const socket = connect(port, HOST);
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    const ids = Array.from(
      { length: MANY_PIPELINED },
      (_, index) => `${index}`,
    );
    socket.write(ids.map(buildRequest).join(""));
    while (begun.length < ids.length) {
      await waitUntil(() => answers.length > 0);
      answers.shift()?.sendLocal({ status: 200, reason: "served" });
    }
    answers.forEach((answer) =>
      answer.sendLocal({ status: 200, reason: "served" })
    );
    await waitUntil(() => received.split("HTTP/1.1 200").length > ids.length);
    socket.destroy();
    expect(begun).to.deep.equal(ids);
    expect(most).to.be.at.most(MAX_BEGUN_OF_CONNECTION);
    await waitUntil(() => server.active === 0);
    lifetime.abort();
  });

  it("closes a connection with too many requests that wait", async () => {
    const lifetime = new AbortController();
    const port = await findFreePort();
    const server = createIngress(port, {
      listPeers: () => [],
      serve: () => Promise.resolve(),
    });
    await server.start(lifetime.signal);
    const socket = connect(port, HOST);
    socket.on("error", () => socket.destroy());
    const isClosed = once(socket, "close");
    socket.write(buildRequest("endless").repeat(2 * MANY_PIPELINED));
    await isClosed;
    await waitUntil(() => server.active === 0);
    lifetime.abort();
  });

  // Callers whose first packet is discarded hear nothing for a second or more.
  it("answers a burst of callers while they wait, with a longer queue", async () => {
    const peer = createHttpServer((_request, response) => response.end());
    peer.listen(0, HOST);
    await once(peer, "listening");
    const lifetime = new AbortController();
    const events: string[] = [];
    const port = await startBusyServer(peer, {
      settings: { acceptQueue: ACCEPT_QUEUE },
      countConnection: (event) => events.push(event),
    }, lifetime.signal);
    const { tried, answered } = await runPressingCallers({
      ...BURST_LOAD,
      host: HOST,
      port,
    });
    lifetime.abort();
    peer.close();
    expect(answered / tried).to.be.at.least(MIN_ANSWERED_FRACTION);
    expect(events).to.include(ConnectionEvent.Relayed);
  });

  it("counts accept queues that were full", async () => {
    const peer = createHttpServer((_request, response) => response.end());
    peer.listen(0, HOST);
    await once(peer, "listening");
    const lifetime = new AbortController();
    const events: string[] = [];
    const port = await startBusyServer(peer, {
      countConnection: (event) => events.push(event),
    }, lifetime.signal);
    await countEstablishedConnections({
      host: HOST,
      port,
      callers: 400,
      busyMilliseconds: 500,
    });
    await waitUntil(() => events.includes(ConnectionEvent.QueueFull));
    lifetime.abort();
    peer.close();
  });

  it("keeps few connections that it does not accept", async () => {
    const router = await harness.startReadyRouter();
    const established = await countEstablishedConnections({
      ...router.settings.callers,
      callers: 400,
      busyMilliseconds: 500,
    });
    expect(established).to.be.within(1, MAX_QUEUED_CONNECTIONS);
  });
});

/** Starts a server whose requests take long, beside another VM. */
async function startBusyServer(
  peer: Server,
  changes: Pick<
    Partial<IngressServerOptions>,
    "settings" | "countConnection"
  >,
  signal: AbortSignal,
): Promise<number> {
  const { port: callerPort } = peer.address() as AddressInfo;
  const contact = { vm: "vm-2", zone: "zone-a", host: HOST, controlPort: 1 };
  const port = await findFreePort();
  const server = createIngress(port, {
    listPeers: () => [{ ...contact, callerPort }],
    serve: (_call, answer) => {
      runBusyLoop(SERVING_MILLISECONDS);
      answer.sendLocal({ status: 200, reason: "" });
      return Promise.resolve();
    },
    ...changes,
  });
  await server.start(signal);
  return port;
}

function createIngress(
  port: number,
  changes:
    & Pick<IngressServerOptions, "serve" | "listPeers">
    & Partial<IngressServerOptions>,
): IngressServer {
  const clock = new SystemClock();
  const random = new RandomSource(1);
  const routes = new RouteTable(buildConfiguration({ routes: [buildRoute()] }));
  return new IngressServer({
    host: HOST,
    port,
    clock,
    random,
    logger: createSilentLogger(),
    reader: new CallReader({
      dialect: new TestDialect(),
      clock,
      random,
      findRoutes: () => routes,
      areKeysFresh: () => true,
      waitForKeys: () => Promise.resolve(true),
    }),
    memory: createCallerMemory(),
    findLimits: () => undefined,
    isLeaving: () => false,
    findRejection: () => undefined,
    countRejection: () => {},
    countReceived: () => {},
    countConnection: () => {},
    recordTurn: () => {},
    ...changes,
  });
}

function buildRequest(id: string): string {
  return [
    "POST /a/x HTTP/1.1",
    "Host: one.example",
    "X-Key: key-1",
    `X-Request: ${id}`,
    "Content-Length: 4",
    "",
    "body",
  ].join("\r\n");
}
