import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { EndpointPhase } from "./model/endpoint_record.ts";
import { type ForwardingRoute, Repeatability } from "./model/route.ts";
import { buildEndpoint, buildRoute } from "./testing/fixtures.ts";
import { MemoryFeed } from "./testing/memory_feed.ts";
import {
  type Arrival,
  type Behaviour,
  type CallOptions,
  RouterWorld,
  sendSound,
  waitUntil,
} from "./testing/router_world.ts";

const KINDS_THAT_RUN_ONCE = [Repeatability.Once, Repeatability.Stream];

let world = new RouterWorld();

function applyRoute(changes: Partial<ForwardingRoute>): void {
  world.configure({ routes: [buildRoute(changes)] });
}

function stopConnection({ request }: Arrival): void {
  request.socket.destroy();
}

function sendNotRun(_: Arrival, response: ServerResponse): void {
  response.writeHead(503, { "x-not-run": "1" });
  response.end();
}

/** Sends events up to a number and then breaks off within the next. */
function createStream(last: number, isWhole: boolean): Behaviour {
  return ({ endpoint, request }, response) => {
    const first = Number(request.headers["x-last-event"] ?? 0) + 1;
    response.writeHead(200, {
      "x-seal": `seal-of-${endpoint}`,
      "x-request": String(request.headers["x-request"]),
      "content-type": "text/event-stream",
    });
    for (let event = first; event <= last; event++) {
      response.write(`id: ${event}\ndata: ${event}\n\n`);
    }
    if (isWhole) {
      response.end();
      return;
    }
    response.write("id: 99\nda", () => {
      setTimeout(() => request.socket.destroy(), 20);
    });
  };
}

function buildEvents(last: number): string {
  return Array.from(
    { length: last },
    (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`,
  ).join("");
}

describe("ForwardingRouter", () => {
  beforeEach(() => {
    world = new RouterWorld();
  });
  afterEach(() => world.stop());

  it("forwards a request and names its organisation, not its key", async () => {
    world.configure();
    await world.startEndpoint("e1", sendSound);
    const router = await world.startReadyRouter();
    const result = await world.call(router, {
      body: "dough",
      headers: { "x-organisation": "someone else", "x-deadline": "2000" },
    });
    expect(result).to.deep.include({ status: 200, body: "answer of e1" });
    expect(result.headers["x-seal"]).to.equal("seal-of-e1");
    const arrival = world.arrivals[0] as Arrival;
    expect(arrival.request.url).to.equal("/a/x?q=1");
    expect(arrival.body).to.equal("dough");
    expect(arrival.request.headers["x-organisation"]).to.equal("bakery");
    expect(arrival.request.headers["x-key"]).to.equal(undefined);
    expect(arrival.request.headers["x-endpoint"]).to.equal("e1");
    expect(Number(arrival.request.headers["x-left"])).to.be.within(1, 2_000);
  });

  it("refuses what it cannot admit, and nothing of it runs", async () => {
    await world.startEndpoint("e1", sendSound);
    const router = await world.startRouter();
    expect((await world.call(router)).status).to.equal(503);
    expect(await world.readReadiness(router)).to.equal(503);
    world.configure();
    await waitUntil(async () => await world.readReadiness(router) === 200);
    const cases: { options: Partial<CallOptions>; status: number }[] = [
      { options: { path: "/b/x" }, status: 404 },
      { options: { headers: { host: "two.example" } }, status: 404 },
      { options: { headers: { "x-key": "key-9" } }, status: 401 },
      { options: { body: "x".repeat(70_000) }, status: 413 },
    ];
    for (const { options, status } of cases) {
      expect((await world.call(router, options)).status).to.equal(status);
    }
    expect(world.arrivals).to.have.lengthOf(0);
  });

  it("repeats an idempotent request that broke off", async () => {
    applyRoute({ repeatability: Repeatability.Idempotent });
    let isFirst = true;
    const behave: Behaviour = (arrival, response) => {
      const breaks = isFirst;
      isFirst = false;
      return breaks ? stopConnection(arrival) : sendSound(arrival, response);
    };
    await world.startEndpoint("e1", behave);
    await world.startEndpoint("e2", behave);
    const router = await world.startReadyRouter();
    expect((await world.call(router)).status).to.equal(200);
    const endpoints = world.arrivals.map((arrival) => arrival.endpoint);
    expect(new Set(endpoints).size).to.equal(2);
  });

  for (const repeatability of KINDS_THAT_RUN_ONCE) {
    it(`sends a request of kind ${repeatability} once, and says unknown`, async () => {
      applyRoute({ repeatability, attempts: 3 });
      await world.startEndpoint("e1", stopConnection);
      await world.startEndpoint("e2", stopConnection);
      const router = await world.startReadyRouter();
      expect((await world.call(router)).status).to.equal(502);
      expect(world.arrivals).to.have.lengthOf(1);
    });

    it(`sends a request of kind ${repeatability} again that was not run`, async () => {
      applyRoute({ repeatability, attempts: 1 });
      let isFirst = true;
      const behave: Behaviour = (arrival, response) => {
        const refuses = isFirst;
        isFirst = false;
        return refuses
          ? sendNotRun(arrival, response)
          : createStream(2, true)(arrival, response);
      };
      await world.startEndpoint("e1", behave);
      await world.startEndpoint("e2", behave);
      const router = await world.startReadyRouter();
      expect((await world.call(router)).status).to.equal(200);
      expect(world.arrivals).to.have.lengthOf(2);
    });
  }

  it("passes no answer on that is unsealed, crossed or recoded", async () => {
    const answers: Behaviour[] = [
      (_, response) => response.writeHead(200, {}).end("forged") && undefined,
      (_, response) =>
        response.writeHead(200, { "x-seal": "s", "x-request": "another" })
          .end("crossed") && undefined,
      (_, response) =>
        response.writeHead(200, {
          "x-seal": "s",
          "x-request": "r1",
          "content-encoding": "br",
        }).end("recoded") && undefined,
    ];
    applyRoute({ repeatability: Repeatability.Once });
    let answer: Behaviour = sendSound;
    await world.startEndpoint(
      "e1",
      (arrival, response) => answer(arrival, response),
    );
    const router = await world.startReadyRouter();
    for (answer of answers) {
      expect((await world.call(router)).status).to.equal(502);
    }
  });

  it("gives an answer without a length no length, and none that is reset", async () => {
    applyRoute({ repeatability: Repeatability.Once });
    let isReset = false;
    await world.startEndpoint("e1", ({ request }) => {
      const head = "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-request: r1\r\n" +
        "connection: close\r\n\r\n";
      request.socket.write(`${head}a part`, () => {
        if (isReset) {
          setTimeout(() => request.socket.resetAndDestroy(), 30);
        } else {
          request.socket.end();
        }
      });
    });
    const router = await world.startReadyRouter();
    const result = await world.call(router);
    expect(result).to.deep.include({ status: 200, body: "a part" });
    expect(result.headers["content-length"]).to.equal(undefined);
    expect(result.headers["transfer-encoding"]).to.equal(undefined);
    expect(result.headers["connection"]).to.equal("close");
    isReset = true;
    expect((await world.call(router)).status).to.equal(502);
  });

  it("returns an endpoint's own failure as it is", async () => {
    applyRoute({ repeatability: Repeatability.Once });
    await world.startEndpoint("e1", ({ request }, response) => {
      const headers = {
        "x-seal": "s",
        "x-request": String(request.headers["x-request"]),
      };
      response.writeHead(500, headers).end("its failure");
    });
    const router = await world.startReadyRouter();
    const result = await world.call(router);
    expect(result).to.deep.include({ status: 500, body: "its failure" });
    expect(result.headers["x-seal"]).to.equal("s");
  });

  it("goes on with a resumable stream in the same answer", async () => {
    applyRoute({ repeatability: Repeatability.ResumableStream });
    let isFirst = true;
    const behave: Behaviour = (arrival, response) => {
      const breaks = isFirst;
      isFirst = false;
      return createStream(breaks ? 3 : 6, !breaks)(arrival, response);
    };
    await world.startEndpoint("e1", behave);
    await world.startEndpoint("e2", behave);
    const router = await world.startReadyRouter();
    const result = await world.call(router);
    expect(result.body).to.equal(buildEvents(6));
    expect(result.isWhole).to.equal(true);
    const first = world.arrivals[0] as Arrival;
    const second = world.arrivals[1] as Arrival;
    expect(result.headers["x-seal"]).to.equal(`seal-of-${first.endpoint}`);
    expect(second.request.headers["x-last-event"]).to.equal("3");
  });

  it("does not end a framed stream with one whose end cannot be told", async () => {
    applyRoute({ repeatability: Repeatability.ResumableStream });
    let isFirst = true;
    const behave: Behaviour = (arrival, response) => {
      if (isFirst) {
        isFirst = false;
        return createStream(3, false)(arrival, response);
      }
      const head = "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-request: r1\r\n" +
        "connection: close\r\n\r\n";
      arrival.request.socket.end(`${head}id: 4\ndata: 4\n\n`);
    };
    await world.startEndpoint("e1", behave);
    await world.startEndpoint("e2", behave);
    const router = await world.startReadyRouter();
    const result = await world.call(router);
    expect(result.body).to.equal(buildEvents(4));
    expect(result.isWhole).to.equal(false);
  });

  it("cuts a stream visibly that must not be repeated", async () => {
    applyRoute({ repeatability: Repeatability.Stream });
    await world.startEndpoint("e1", createStream(3, false));
    await world.startEndpoint("e2", createStream(3, false));
    const router = await world.startReadyRouter();
    const result = await world.call(router);
    expect(result.body).to.equal(buildEvents(3));
    expect(result.isWhole).to.equal(false);
    expect(world.arrivals).to.have.lengthOf(1);
  });

  it("answers at the route's time-out, and stops the endpoint's work", async () => {
    applyRoute({ timeoutMilliseconds: 120 });
    let isStopped = false;
    await world.startEndpoint("e1", ({ request }) => {
      request.socket.once("close", () => isStopped = true);
    });
    const router = await world.startReadyRouter();
    const startedAt = performance.now();
    expect((await world.call(router)).status).to.equal(504);
    expect(performance.now() - startedAt).to.be.within(100, 600);
    await waitUntil(() => isStopped);
  });

  it("stops the endpoint's work when the caller leaves", async () => {
    world.configure();
    let isStopped = false;
    await world.startEndpoint("e1", ({ request }) => {
      request.socket.once("close", () => isStopped = true);
    });
    const router = await world.startReadyRouter();
    const caller = new AbortController();
    const result = world.call(router, { signal: caller.signal });
    await waitUntil(() => world.arrivals.length === 1);
    caller.abort();
    await result;
    await waitUntil(() => isStopped);
  });

  it("sends nothing to an endpoint that drains, or whose zone does", async () => {
    world.configure();
    await world.startEndpoint("e1", sendSound, { zone: "zone-a" });
    const server = await world.startEndpoint("e2", sendSound, {
      zone: "zone-b",
    });
    const router = await world.startReadyRouter();
    const address = server.address();
    const port = typeof address === "object" ? address?.port ?? 0 : 0;
    world.feed.put(
      "endpoints",
      "e2",
      buildEndpoint("e2", { port, phase: EndpointPhase.Draining }),
    );
    await waitUntil(async () => {
      const from = world.arrivals.length;
      for (let call = 0; call < 6; call++) {
        await world.call(router);
      }
      return world.arrivals.slice(from).every(({ endpoint }) =>
        endpoint === "e1"
      );
    });
    world.feed.put("operator", "drain/zone-a", {});
    await waitUntil(async () => (await world.call(router)).status === 503);
    const count = world.arrivals.length;
    const refused = await world.call(router);
    expect(Number(refused.headers["retry-after"])).to.be.greaterThan(0);
    expect(world.arrivals).to.have.lengthOf(count);
  });

  it("honours no key after it was taken away, and none it cannot vouch for", async () => {
    const open = buildRoute({ pathPrefix: "/open/", isPublic: true });
    world.configure({ routes: [buildRoute(), open] });
    await world.startEndpoint("e1", sendSound);
    const router = await world.startReadyRouter();
    expect((await world.call(router)).status).to.equal(200);
    world.configure({
      version: 2,
      routes: [buildRoute(), open],
      organisations: [{ name: "bakery", keys: ["key-2"], priority: undefined }],
    });
    await waitUntil(async () => (await world.call(router)).status === 401);
    const second = { headers: { "x-key": "key-2" } };
    expect((await world.call(router, second)).status).to.equal(200);
    world.feed.isDown = true;
    await waitUntil(async () =>
      (await world.call(router, second)).status === 503
    );
    const path = { path: "/open/x" };
    expect((await world.call(router, path)).status).to.equal(200);
    world.feed.isDown = false;
    await waitUntil(async () =>
      (await world.call(router, second)).status === 200
    );
  });

  it("lives on a peer's word while the store turns it away", async () => {
    world.configure();
    await world.startEndpoint("e1", sendSound);
    const first = await world.startReadyRouter();
    const cut = new MemoryFeed();
    cut.put("operator", "other", {});
    const second = await world.startRouter({
      feed: cut,
      seeds: [first.settings],
    });
    cut.isDown = true;
    await waitUntil(async () => await world.readReadiness(second) === 200);
    await waitUntil(async () => (await world.call(second)).status === 200);
  });

  it("finishes what it has when it is stopped, and refuses the rest", async () => {
    world.configure();
    let release = () => {};
    const released = new Promise<void>((resolve) => release = resolve);
    await world.startEndpoint("e1", async (arrival, response) => {
      await released;
      sendSound(arrival, response);
    });
    const router = await world.startReadyRouter();
    const running = world.call(router);
    await waitUntil(() => world.arrivals.length === 1);
    router.ending.abort();
    await waitUntil(async () => await world.readReadiness(router) === 503);
    release();
    const result = await running;
    expect(result).to.deep.include({ status: 200, isWhole: true });
    expect(result.headers["connection"]).to.equal("close");
    await router.ended;
  });

  it("refuses a request that was running when three endpoints crashed", async () => {
    applyRoute({
      repeatability: Repeatability.Idempotent,
      attempts: 1,
    });
    const crash = (name: string): Behaviour => ({ request }) => {
      const port = request.socket.localPort ?? 0;
      request.socket.destroy();
      // The same endpoint comes back as another process.
      const startedAtUnixMilliseconds = Date.now() + world.arrivals.length;
      const record = buildEndpoint(name, { port, startedAtUnixMilliseconds });
      world.feed.put("endpoints", name, record);
    };
    await world.startEndpoint("e1", crash("e1"));
    const router = await world.startReadyRouter();
    await waitUntil(async () => {
      const result = await world.call(router, { body: "poison" });
      return result.body.includes("running when endpoints crashed");
    });
    const count = world.arrivals.length;
    for (let call = 0; call < 3; call++) {
      await world.call(router, { body: "poison" });
    }
    expect(world.arrivals).to.have.lengthOf(count);
    expect(count).to.be.at.most(5);
  });
});
