import type { ServerResponse } from "node:http";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { Repeatability } from "../model/route.ts";
import { buildRoute, buildService } from "../testing/fixtures.ts";
import { type Arrival, RouterWorld } from "../testing/router_world.ts";

const ENGINES = ["e1", "e2", "e3"];
const LONG_PROMPT_TOKENS = "60000";
const SHORT_PROMPT_TOKENS = "500";
const EVENTS_BEFORE_MOVE = 3;
const LAST_EVENT = 6;

/** What an engine answers to the order to move its run. */
enum MoveReply {
  Copied = "copied",
  /** No other endpoint had room; the run is stopped all the same. */
  Kept = "kept",
  /** The run goes on. */
  Refused = "refused",
}

/** How engines behave in one test. */
interface EngineBehaviour {
  reply: MoveReply;
  /** Engines that refuse to take up a run. */
  refusing: (engine: string, source: string) => boolean;
}

/** Engines whose runs can be moved. */
class MovableEngines {
  readonly fresh: string[] = [];
  readonly resumed: string[] = [];
  readonly #behaviour: EngineBehaviour;
  #stream: ServerResponse | undefined;

  constructor(behaviour: EngineBehaviour) {
    this.#behaviour = behaviour;
  }

  handle(arrival: Arrival, response: ServerResponse): void {
    const { endpoint, request } = arrival;
    if (request.url?.startsWith("/move/")) {
      this.#handleMove(response);
    } else if (request.headers["x-memory"] === undefined) {
      this.fresh.push(endpoint);
      this.#stream = response;
      startStream(arrival, response);
      sendEvents(response, { first: 1, last: EVENTS_BEFORE_MOVE });
      if (request.headers["x-prompt"] === SHORT_PROMPT_TOKENS) {
        sendRest(response, EVENTS_BEFORE_MOVE);
      }
    } else {
      this.#takeUp(arrival, response);
    }
  }

  #handleMove(response: ServerResponse): void {
    const { reply } = this.#behaviour;
    const isCopied = reply === MoveReply.Copied;
    if (reply === MoveReply.Refused) {
      response.writeHead(404);
      response.end();
      sendRest(this.#stream as ServerResponse, EVENTS_BEFORE_MOVE);
      return;
    }
    this.#stream?.destroy();
    response.writeHead(isCopied ? 200 : 503);
    response.end(JSON.stringify({ handle: "memory-1", isCopied }));
  }

  #takeUp(arrival: Arrival, response: ServerResponse): void {
    const { endpoint, request } = arrival;
    this.resumed.push(endpoint);
    if (this.#behaviour.refusing(endpoint, this.fresh[0] ?? "")) {
      response.writeHead(503, { "x-not-run": "1" });
      response.end();
      return;
    }
    startStream(arrival, response);
    sendRest(response, Number(request.headers["x-last-event"]));
  }
}

function startStream(
  { endpoint, request }: Arrival,
  response: ServerResponse,
): void {
  response.writeHead(200, {
    "x-seal": `seal-of-${endpoint}`,
    "x-request": String(request.headers["x-request"]),
    "content-type": "text/event-stream",
  });
}

function sendEvents(
  response: ServerResponse,
  { first, last }: { first: number; last: number },
): void {
  for (let event = first; event <= last; event++) {
    response.write(`id: ${event}\ndata: ${event}\n\n`);
  }
}

function sendRest(response: ServerResponse, after: number): void {
  sendEvents(response, { first: after + 1, last: LAST_EVENT });
  response.end();
}

const WHOLE_BODY = Array.from(
  { length: LAST_EVENT },
  (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`,
).join("");

let world = new RouterWorld();

async function runCall(behaviour: EngineBehaviour, tokens: string) {
  const engines = new MovableEngines(behaviour);
  world.configure({
    routes: [buildRoute({ repeatability: Repeatability.Stream, attempts: 1 })],
    services: [buildService()],
  });
  for (const engine of ENGINES) {
    await world.startEndpoint(
      engine,
      (arrival, response) => engines.handle(arrival, response),
    );
  }
  const router = await world.startReadyRouter();
  const result = await world.call(router, { headers: { "x-prompt": tokens } });
  return { engines, result };
}

function hasNoRefusal(): boolean {
  return false;
}

describe("Relocation", () => {
  beforeEach(() => {
    world = new RouterWorld();
  });
  afterEach(() => world.stop());

  it("has a long prompt's run go on at another engine, in one answer", async () => {
    const { engines, result } = await runCall(
      { reply: MoveReply.Copied, refusing: hasNoRefusal },
      LONG_PROMPT_TOKENS,
    );
    expect(result).to.deep.include({ body: WHOLE_BODY, isWhole: true });
    expect(engines.fresh).to.have.length(1);
    expect(engines.resumed).to.have.length(1);
    expect(engines.resumed[0]).to.not.equal(engines.fresh[0]);
    expect(result.headers["x-seal"]).to.equal(`seal-of-${engines.fresh[0]}`);
  });

  it("returns to the source when the other engine does not take the run", async () => {
    const { engines, result } = await runCall({
      reply: MoveReply.Copied,
      refusing: (engine, source) => engine !== source,
    }, LONG_PROMPT_TOKENS);
    expect(result).to.deep.include({ body: WHOLE_BODY, isWhole: true });
    expect(engines.fresh).to.have.length(1);
    expect(engines.resumed.at(-1)).to.equal(engines.fresh[0]);
  });

  it("goes on at the source when no engine had room for the copy", async () => {
    const { engines, result } = await runCall(
      { reply: MoveReply.Kept, refusing: hasNoRefusal },
      LONG_PROMPT_TOKENS,
    );
    expect(result).to.deep.include({ body: WHOLE_BODY, isWhole: true });
    expect(engines.resumed).to.deep.equal(engines.fresh);
  });

  it("leaves a run where it is when the order is refused", async () => {
    const { engines, result } = await runCall(
      { reply: MoveReply.Refused, refusing: hasNoRefusal },
      LONG_PROMPT_TOKENS,
    );
    expect(result).to.deep.include({ body: WHOLE_BODY, isWhole: true });
    expect(engines.fresh).to.have.length(1);
    expect(engines.resumed).to.deep.equal([]);
  });

  it("cuts a stream visibly that no engine takes up, and runs it once", async () => {
    const { engines, result } = await runCall(
      { reply: MoveReply.Copied, refusing: () => true },
      LONG_PROMPT_TOKENS,
    );
    expect(result.isWhole).to.equal(false);
    expect(engines.fresh).to.have.length(1);
    expect(engines.resumed).to.have.length(2);
  });

  it("moves no run of a short prompt", async () => {
    const { engines, result } = await runCall(
      { reply: MoveReply.Copied, refusing: hasNoRefusal },
      SHORT_PROMPT_TOKENS,
    );
    expect(result).to.deep.include({ body: WHOLE_BODY, isWhole: true });
    const moves = world.arrivals.filter(({ request }) =>
      request.url?.startsWith("/move/")
    );
    expect(moves).to.deep.equal([]);
    expect(engines.resumed).to.deep.equal([]);
  });
});
