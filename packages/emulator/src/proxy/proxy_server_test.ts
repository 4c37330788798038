import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { SystemClock } from "@rattanvane/base";
import { sendJson, waitUntil } from "../testing/http_calls.ts";
import { ProxyServer } from "./proxy_server.ts";

const LINK = "zone-a>zone-b";

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

/** Starts a server that echoes what it gets. */
async function startEcho(): Promise<number> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  end.signal.addEventListener("abort", () => server.close());
  return (server.address() as AddressInfo).port;
}

interface Fixture {
  url: string;
  port: number;
}

async function startProxy(changes: object = {}): Promise<Fixture> {
  const server = new ProxyServer({
    host: "127.0.0.1",
    port: 0,
    clock: new SystemClock(),
  }, end.signal);
  await server.start();
  const url = `http://127.0.0.1:${server.port}`;
  const forward = await sendJson<{ port: number }>(`${url}/forwards`, {
    body: {
      link: LINK,
      host: "127.0.0.1",
      port: await startEcho(),
      ...changes,
    },
  });
  return { url, port: forward.body.port };
}

async function applyFaults(
  proxy: Fixture,
  faults: object,
  link = LINK,
): Promise<void> {
  const path = `links/${encodeURIComponent(link)}/faults`;
  const answer = await sendJson(`${proxy.url}/${path}`, { body: faults });
  expect(answer.status).to.equal(204);
}

/** A connection and what became of it. */
class Client {
  readonly socket: Socket;
  received = "";
  failure: string | undefined;
  closed = false;

  constructor(port: number, localAddress = "127.0.0.1") {
    this.socket = connect({ host: "127.0.0.1", port, localAddress });
    this.socket.setEncoding("utf8");
    this.socket.on("data", (text: string) => {
      this.received += text;
    });
    this.socket.on("error", (error: NodeJS.ErrnoException) => {
      this.failure = error.code;
    });
    this.socket.on("close", () => {
      this.closed = true;
    });
    end.signal.addEventListener("abort", () => this.socket.destroy());
  }

  /** Sends a text and waits for its echo. */
  async echo(text: string): Promise<void> {
    const length = this.received.length + text.length;
    this.socket.write(text);
    await waitUntil(() => this.received.length >= length || this.closed);
  }
}

async function readLinks(
  proxy: Fixture,
): Promise<Record<string, Record<string, unknown>>> {
  const answer = await sendJson<
    { links: Record<string, Record<string, unknown>> }
  >(`${proxy.url}/links`);
  return answer.body.links;
}

describe("proxy", () => {
  it("passes bytes on and counts them", async () => {
    const proxy = await startProxy();
    const client = new Client(proxy.port);
    await client.echo("hello");
    expect(client.received).to.equal("hello");
    client.socket.end();
    await waitUntil(() => client.closed);
    expect((await readLinks(proxy))[LINK]).to.include({
      connections: 1,
      bytesToTarget: 5,
      bytesFromTarget: 5,
    });
  });

  it("resets connections of a cut link, refuses new ones and heals", async () => {
    const proxy = await startProxy();
    const before = new Client(proxy.port);
    await before.echo("hello");
    await applyFaults(proxy, { cut: true });
    await waitUntil(() => before.closed);
    expect(before.failure).to.equal("ECONNRESET");
    const during = new Client(proxy.port);
    await waitUntil(() => during.closed);
    expect(during.failure).to.equal("ECONNREFUSED");
    await sendJson(`${proxy.url}/heal`, { method: "POST" });
    await waitUntil(async () => {
      const after = new Client(proxy.port);
      await after.echo("again");
      return after.received === "again";
    });
  });

  it("cuts one source and leaves the others", async () => {
    const proxy = await startProxy({
      linksBySource: { "127.1.0.1": "zone-c>zone-b" },
    });
    const near = new Client(proxy.port);
    const far = new Client(proxy.port, "127.1.0.1");
    await near.echo("near");
    await far.echo("far");
    await applyFaults(proxy, { cut: true }, "zone-c>zone-b");
    await waitUntil(() => far.closed);
    const again = new Client(proxy.port, "127.1.0.1");
    await waitUntil(() => again.closed);
    expect(again.received).to.equal("");
    await near.echo("still");
    expect(near.received).to.equal("nearstill");
  });

  it("strikes several links at once", async () => {
    const proxy = await startProxy({ linksBySource: { "127.1.0.1": "other" } });
    const clients = [
      new Client(proxy.port),
      new Client(proxy.port, "127.1.0.1"),
    ];
    await Promise.all(clients.map((client) => client.echo("hello")));
    const body = { links: [LINK, "other"], faults: { cut: true } };
    await sendJson(`${proxy.url}/faults`, { body });
    await waitUntil(() => clients.every((client) => client.closed));
  });

  const blackholeCases = [
    { blackhole: "toTarget", bytesFromTarget: 5, bytesToTarget: 10 },
    { blackhole: "fromTarget", bytesFromTarget: 10, bytesToTarget: 10 },
    { blackhole: "both", bytesFromTarget: 5, bytesToTarget: 10 },
  ];
  for (const { blackhole, ...bytes } of blackholeCases) {
    it(`swallows bytes (${blackhole}) and resets after healing`, async () => {
      const proxy = await startProxy();
      const client = new Client(proxy.port);
      await client.echo("hello");
      await applyFaults(proxy, { blackhole });
      client.socket.write("swallowed".slice(0, 5));
      await waitUntil(async () => {
        const link = (await readLinks(proxy))[LINK] ?? {};
        return link["bytesToTarget"] === bytes.bytesToTarget &&
          link["bytesFromTarget"] === bytes.bytesFromTarget;
      });
      expect(client.received).to.equal("hello");
      expect(client.closed).to.equal(false);
      await sendJson(`${proxy.url}/heal`, { method: "POST" });
      await waitUntil(() => client.closed);
      expect(client.received).to.equal("hello");
    });
  }

  it("cuts a connection after so many bytes", async () => {
    const proxy = await startProxy();
    await applyFaults(proxy, { cutAfterBytes: 3 });
    const client = new Client(proxy.port);
    client.socket.write("hello");
    await waitUntil(() => client.closed);
    expect(client.received).to.equal("hel");
  });

  it("delays and limits bytes without losing any", async () => {
    const proxy = await startProxy();
    await applyFaults(proxy, {
      delayMilliseconds: 2,
      bytesPerSecond: 1_000_000,
    });
    const client = new Client(proxy.port);
    const text = "0123456789".repeat(2000);
    await client.echo(text);
    expect(client.received).to.equal(text);
  });

  it("refuses a link or a fault that it does not know", async () => {
    const proxy = await startProxy();
    const unknownLink = await sendJson(`${proxy.url}/links/x/faults`, {
      body: {},
    });
    expect(unknownLink.status).to.equal(404);
    const path = `links/${encodeURIComponent(LINK)}/faults`;
    const unknownFault = await sendJson(`${proxy.url}/${path}`, {
      body: { cutt: true },
    });
    expect(unknownFault.status).to.equal(400);
  });
});
