import { Buffer } from "node:buffer";
import { Agent, type ServerResponse } from "node:http";
import process from "node:process";
import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { type ForwardingRoute, Repeatability } from "./model/route.ts";
import { buildRoute } from "./testing/fixtures.ts";
import { measureMemory } from "./testing/memory_measurement.ts";
import {
  type CallerResponse,
  type EndpointHandler,
  type ReceivedRequest,
  RouterHarness,
} from "./testing/router_harness.ts";

const DEFAULT_SEEDS = [1, 2, 3, 4];
/** The memory of the smallest VM in use. */
const SMALL_VM_BYTES = 178e6;
const ROUTE_TIMEOUT = 1_000;
/** An answer is due by then, even where the route's timeout has passed. */
const LATEST_ANSWER = ROUTE_TIMEOUT + 500;
const CALLERS = 8;
const FAULT_MILLISECONDS = 2_500;
const ENDLESS_BLOCK_BYTES = 64 * 1024;
/** 16 MB/s for each answer. */
const ENDLESS_GAP_MILLISECONDS = 4;

const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

/** What an answer begins with after its sealed head, and then repeats. */
const ENDLESS_KINDS: [string, string][] = [
  [CHUNKED, "1\r\n0\r\n"],
  [CHUNKED, "6\r\nid: 1\n\r\n"],
  [CHUNKED, "9\r\ndata: 1\n\n\r\n"],
  [CHUNKED, "1\r\n\n\r\n"],
  [`${CHUNKED}5;`, "name=value;"],
  [`${CHUNKED}0\r\n`, "name: value\r\n"],
  ["\r\n", "0\n"],
  ["\r\n", "0"],
  ["\r\n", "\n"],
  ["\r\n", "data: 1\n\n"],
  ["content-length: 900000000\r\n\r\n", "y"],
  ["", "name: value\r\n"],
];

/** Like the former, before the status of the answer. */
const ENDLESS_HEADS: [string, string][] = [
  ["", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"],
  ["HTTP/1.1 200 ", "reason "],
  ["", "no answer "],
];

interface Answered {
  request: string;
  milliseconds: number;
  response: CallerResponse;
}

/** Lists the seeds from "101-150" in the environment, or a few for CI. */
function listSeeds(): number[] {
  const range = /^(\d+)-(\d+)$/.exec(process.env["SOAK_SEEDS"] ?? "");
  if (range === null) {
    return DEFAULT_SEEDS;
  }
  const [first, last] = [Number(range[1]), Number(range[2])];
  return Array.from({ length: last - first + 1 }, (_, index) => first + index);
}

function buildRoutes(): ForwardingRoute[] {
  const common = { timeoutMilliseconds: ROUTE_TIMEOUT };
  return [
    buildRoute({ ...common, name: "plain" }),
    buildRoute({
      ...common,
      name: "once",
      pathPrefix: "/once/",
      repeatability: Repeatability.Once,
    }),
    buildRoute({
      ...common,
      name: "stream",
      pathPrefix: "/stream/",
      repeatability: Repeatability.Stream,
    }),
  ];
}

/** Answers whole, with the request's id in the body or in each event. */
function sendSound({ request }: ReceivedRequest, response: ServerResponse) {
  const id = String(request.headers["x-request"]);
  response.writeHead(200, { "x-seal": "seal", "x-request": id });
  if (request.url?.startsWith("/stream/") === true) {
    for (let event = 0; event < 5; event++) {
      response.write(`data: ${id}\n\n`);
    }
    response.end();
  } else {
    response.end(`answer to ${id}`);
  }
}

/** Sends bytes of a random kind until the router closes the connection. */
function createEndless(random: RandomSource): EndpointHandler {
  return async ({ request }) => {
    const { socket } = request;
    const id = String(request.headers["x-request"]);
    const isHead = random.nextFraction() < 0.25;
    const kinds = isHead ? ENDLESS_HEADS : ENDLESS_KINDS;
    const [first, repeated] =
      kinds[random.nextInteger(0, kinds.length - 1)] as [string, string];
    const head = `HTTP/1.1 200 OK\r\nx-seal: seal\r\nx-request: ${id}\r\n`;
    socket.write(isHead ? first : head + first);
    const count = Math.ceil(ENDLESS_BLOCK_BYTES / repeated.length);
    const block = Buffer.from(repeated.repeat(count));
    while (!socket.destroyed) {
      if (socket.writableLength === 0) {
        socket.write(block);
      }
      await waitFor(ENDLESS_GAP_MILLISECONDS);
    }
  };
}

function waitFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts three endpoints; the first one is faulty while `isFaulty` says so. */
async function startEndpoints(
  harness: RouterHarness,
  random: RandomSource,
  isFaulty: () => boolean,
): Promise<void> {
  const sendEndless = createEndless(random);
  const server = await harness.startEndpoint(
    "faulty",
    (received, response) =>
      isFaulty()
        ? sendEndless(received, response)
        : sendSound(received, response),
  );
  server.on("connection", (socket) => socket.on("error", () => {}));
  await harness.startEndpoint("sound-1", sendSound);
  await harness.startEndpoint("sound-2", sendSound);
}

/** Sends requests one after another on a kept connection. */
async function runCaller(
  harness: RouterHarness,
  router: Awaited<ReturnType<RouterHarness["startReadyRouter"]>>,
  options: { name: string; random: RandomSource; isOver: () => boolean },
): Promise<Answered[]> {
  const { name, random, isOver } = options;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const answered: Answered[] = [];
  for (let sequence = 0; !isOver(); sequence++) {
    const request = `${name}-${sequence}`;
    const prefixes = ["/a/", "/once/", "/stream/"];
    const path = `${prefixes[random.nextInteger(0, 2)]}${sequence}`;
    const startedAt = performance.now();
    const response = await harness.send(router, {
      path,
      agent,
      headers: { "x-request": request },
    });
    const milliseconds = performance.now() - startedAt;
    answered.push({ request, milliseconds, response });
    await waitFor(random.nextInteger(0, 20));
  }
  agent.destroy();
  return answered;
}

/** Whether the bytes of a whole answer are those of its own request. */
function isOwnAnswer({ request, response }: Answered): boolean {
  const { body } = response;
  return body === `answer to ${request}` ||
    body === `data: ${request}\n\n`.repeat(5);
}

// Faulty endpoints sent bytes that are no answer, in heads and in bodies, until
// the caller closed; VMs kept them all, or spent all their time on them.
describe("an endpoint that sends random bytes without end", () => {
  for (const seed of listSeeds()) {
    it(`harms no other request (seed ${seed})`, async () => {
      const random = new RandomSource(seed);
      const harness = new RouterHarness();
      harness.applyConfiguration({ routes: buildRoutes() });
      let isFaulty = false;
      await startEndpoints(harness, random, () => isFaulty);
      const router = await harness.startReadyRouter();
      let isOver = false;
      const callers = Array.from(
        { length: CALLERS },
        (_, index) =>
          runCaller(harness, router, {
            name: `c${index}`,
            random,
            isOver: () => isOver,
          }),
      );
      const before = measureMemory();
      let highest = 0;
      const endsAt = performance.now() + FAULT_MILLISECONDS;
      while (performance.now() < endsAt) {
        isFaulty = random.nextFraction() < 0.8;
        await waitFor(random.nextInteger(20, 300));
        highest = Math.max(highest, measureMemory() - before);
      }
      isOver = true;
      const answered = (await Promise.all(callers)).flat();
      await harness.stop();
      const late = answered.filter(({ milliseconds }) =>
        milliseconds > LATEST_ANSWER
      );
      const foreign = answered.filter((each) =>
        each.response.status === 200 && each.response.isComplete &&
        !isOwnAnswer(each)
      );
      expect(late.map(({ request }) => request)).to.deep.equal([]);
      expect(foreign.map(({ response }) => response.body)).to.deep.equal([]);
      expect(answered.filter(isOwnAnswer).length).to.be.above(CALLERS);
      expect(highest).to.be.below(SMALL_VM_BYTES);
    });
  }
});
