import { once } from "node:events";
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, createServer, type Server } from "node:net";
import {
  createSilentLogger,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import type { VmContact } from "@rattanvane/protocol";
import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { runRelays } from "../testing/simulated_relays.ts";
import { waitUntil } from "../testing/router_harness.ts";
import { createCallerMemory } from "../testing/fixtures.ts";
import { sendConnectionRefusal } from "./connection_refuser.ts";
import {
  ConnectionRelay,
  type ConnectionRelayOptions,
} from "./connection_relay.ts";

const MAX_RELAYS = 128;
const HOST = "127.0.0.1";
const HEAD = "POST /a/x HTTP/1.1\r\nHost: one.example\r\n" +
  "Content-Length: 4\r\n\r\n";
const REQUEST = `${HEAD}body`;

const SEEDS = [1, 2, 3];
/** A VM that answers nothing for 1.5 s gets no more connections. */
const FREEZE_MILLISECONDS = 1_700;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

interface Received {
  text: string;
  isReset: boolean;
}

let servers: (Server | HttpServer)[] = [];

async function startServer(server: Server | HttpServer): Promise<number> {
  servers.push(server);
  server.listen(0, HOST);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

function buildContact(vm: string, callerPort: number): VmContact {
  return { vm, zone: "zone-a", host: HOST, controlPort: 1, callerPort };
}

/** Starts another VM, and a VM that passes all its connections on to it. */
async function startRelay(
  handler: Handler,
  changes: Partial<ConnectionRelayOptions> = {},
) {
  const peerServer = createHttpServer(handler);
  const peerPort = await startServer(peerServer);
  const contact = buildContact("vm-2", peerPort);
  const relay = new ConnectionRelay({
    clock: new SystemClock(),
    random: new RandomSource(1),
    logger: createSilentLogger(),
    host: HOST,
    listPeers: () => [contact],
    refuse: (socket, received) => sendConnectionRefusal(socket, received),
    maxConnections: MAX_RELAYS,
    memory: createCallerMemory(),
    ...changes,
  });
  const started: boolean[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    const isStarted = relay.start(socket);
    started.push(isStarted);
    if (!isStarted) {
      sendConnectionRefusal(socket);
    }
  });
  const port = await startServer(server);
  return { port, relay, started, contact, peerServer };
}

/** Sends pieces one after the other and reads until the end. */
async function sendPieces(
  port: number,
  pieces: readonly string[],
): Promise<Received> {
  const socket = connect(port, HOST);
  const received: Received = { text: "", isReset: false };
  socket.on("data", (chunk) => received.text += chunk.toString());
  socket.on("error", () => received.isReset = true);
  const closed = once(socket, "close").catch(() => {});
  await once(socket, "connect");
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await closed;
  return received;
}

function sendHeaders(request: IncomingMessage, response: ServerResponse) {
  let body = "";
  request.on("data", (chunk) => body += chunk);
  request.on("end", () => {
    response.end(`${request.headers.connection} ${request.url} ${body}`);
  });
}

describe("ConnectionRelay", () => {
  afterEach(() => {
    for (const server of servers) {
      server.close();
    }
    servers = [];
  });

  it("passes a request on, and the connection ends after its answer", async () => {
    const { port, relay } = await startRelay(sendHeaders);
    const { text, isReset } = await sendPieces(port, [REQUEST]);
    expect(text).to.match(/^HTTP\/1.1 200 /);
    expect(text).to.match(/\r\nConnection: close\r\n/i);
    expect(text).to.match(/close, relayed \/a\/x body$/);
    expect(isReset).to.equal(false);
    await waitUntil(() => relay.open === 0);
  });

  it("passes on a request line that arrives in pieces after an empty line", async () => {
    const { port } = await startRelay(sendHeaders);
    const { text } = await sendPieces(port, [
      "\r\nPOST /a",
      "/x HTTP/1.1\r",
      "\nHost: one.example\r\nContent-Length: 4\r\n\r\nbo",
      "dy",
    ]);
    expect(text).to.match(/close, relayed \/a\/x body$/);
  });

  it("refuses a connection that another VM has passed on", async () => {
    const { port } = await startRelay(sendHeaders);
    const { text } = await sendPieces(port, [
      REQUEST.replace("\r\n", "\r\nconnection: close, relayed\r\n"),
    ]);
    expect(text).to.match(/^HTTP\/1.1 503 /);
    expect(text).to.match(/not run/);
  });

  it("refuses a request whose first header continues no other", async () => {
    const { port } = await startRelay(sendHeaders);
    const { text } = await sendPieces(port, [
      REQUEST.replace("Host:", " Transfer-Encoding: chunked\r\nHost:"),
    ]);
    expect(text).to.match(/^HTTP\/1.1 503 /);
  });

  it("refuses a connection when the other VM cannot be reached, and avoids it", async () => {
    const { port, started, peerServer } = await startRelay(sendHeaders);
    peerServer.close();
    const { text } = await sendPieces(port, [REQUEST]);
    expect(text).to.match(/^HTTP\/1.1 503 /);
    await sendPieces(port, [REQUEST]);
    expect(started).to.deep.equal([true, false]);
  });

  it("resets a connection whose answer breaks off", async () => {
    const { port } = await startRelay((_request, response) => {
      response.useChunkedEncodingByDefault = false;
      response.writeHead(200, { connection: "close" });
      response.write("a part of");
      setTimeout(() => response.socket?.resetAndDestroy(), 20);
    });
    const { text, isReset } = await sendPieces(port, [REQUEST]);
    expect(text).to.match(/a part of$/);
    expect(isReset).to.equal(true);
  });

  it("ends the request at the other VM when the caller leaves", async () => {
    let left: Promise<unknown> | undefined;
    const { port, relay } = await startRelay((_request, response) => {
      left = once(response, "close");
      response.write("first");
    });
    const caller = connect(port, HOST);
    caller.write(REQUEST);
    await once(caller, "data");
    expect(relay.open).to.equal(1);
    caller.destroy();
    await left;
  });

  it("leaves the zone whose VM has frozen, and frees its connections", async () => {
    const frozen = createServer({ pauseOnConnect: true });
    const frozenContact = buildContact("vm-frozen", await startServer(frozen));
    const away = createHttpServer(sendHeaders);
    const awayContact = buildContact("vm-away", await startServer(away));
    const { port, relay } = await startRelay(sendHeaders, {
      listPeers: () => [frozenContact],
      listOtherZones: () => [awayContact],
    });
    const held = connect(port, HOST);
    held.write(REQUEST);
    await waitUntil(() => relay.open === 1);
    await new Promise((resolve) => setTimeout(resolve, FREEZE_MILLISECONDS));
    const { text } = await sendPieces(port, [REQUEST]);
    expect(text).to.match(/close, relayed \/a\/x body$/);
    held.destroy();
    await waitUntil(() => relay.open === 0);
  });

  it("disconnects a caller that sends no request", async () => {
    const { port, relay } = await startRelay(sendHeaders);
    const { text } = await sendPieces(port, []);
    expect(text).to.equal("");
    await waitUntil(() => relay.open === 0);
  });

  for (const seed of SEEDS) {
    it(`mixes, repeats and truncates nothing while VMs restart (seed ${seed})`, async () => {
      const { served, refused, ...faults } = await runRelays(seed);
      expect(faults).to.deep.equal({
        refusedButRun: [],
        runTwice: [],
        truncated: [],
        mixed: [],
        left: 0,
      });
      expect(served).to.be.at.least(1);
      expect(refused).to.be.at.least(1);
    });
  }
});
