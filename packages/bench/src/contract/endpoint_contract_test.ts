import { Buffer } from "node:buffer";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { createSilentLogger, SystemClock } from "@rattanvane/base";
import {
  createEngineOptions,
  type EngineOptions,
  EngineServer,
  generateAnswer,
} from "@rattanvane/emulator";
import {
  EndpointErrorKind,
  type EndpointRequest,
  type EndpointResponse,
  HttpEndpointClient,
  readStreamEvents,
} from "@rattanvane/platform";
import { JsonClient } from "../common/json_client.ts";

const PROMPT = "mend the flap [tokens:10]";
const MAX_TOKENS = 32;
const ANSWER = generateAnswer(PROMPT, MAX_TOKENS);

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

/** Starts an engine and the product's client of it. */
async function startEngine(changes: Partial<EngineOptions> = {}) {
  const clock = new SystemClock();
  const server = new EngineServer({
    host: "127.0.0.1",
    port: 0,
    clock,
    logger: createSilentLogger(),
    engine: createEngineOptions({
      tokenMilliseconds: 2,
      prefillMilliseconds: 2,
      restartMilliseconds: 60_000,
      ...changes,
    }),
  }, end.signal);
  await server.start();
  return {
    client: new HttpEndpointClient({ clock }, end.signal),
    address: {
      endpoint: "engine-a1",
      url: `http://127.0.0.1:${server.port}`,
    },
    admin: new JsonClient(`http://127.0.0.1:${server.adminPort}`),
  };
}

function createRequest(
  attempt: string,
  fields: Record<string, unknown> = {},
): EndpointRequest {
  const body = {
    model: "assistant",
    prompt: PROMPT,
    max_tokens: MAX_TOKENS,
    stream: true,
    ...fields,
  };
  return {
    attempt,
    method: "POST",
    path: "/v1/completions",
    headers: [{ name: "content-type", value: "application/json" }],
    body: Buffer.from(JSON.stringify(body)),
    firstByteTimeoutMilliseconds: 2000,
    idleTimeoutMilliseconds: 2000,
  };
}

/** Reads a stream to its end or to where it breaks. */
async function readText(response: EndpointResponse) {
  const events = readStreamEvents(response.body);
  let text = "";
  let kind: EndpointErrorKind | undefined;
  try {
    for await (const event of events) {
      text += JSON.parse(event.data).choices[0].text;
    }
  } catch (error) {
    kind = (error as { kind: EndpointErrorKind }).kind;
  }
  return { text, kind, complete: events.complete, offset: events.lastOffset };
}

describe("contract: endpoint client against the engine stand-in", () => {
  it("reads a whole stream", async () => {
    const { client, address } = await startEngine();
    const sent = await client.send(address, createRequest("a1"), end.signal);
    const response = sent._unsafeUnwrap();
    expect(response.bootId).not.to.equal("");
    expect(await readText(response)).to.deep.equal({
      text: ANSWER,
      kind: undefined,
      complete: true,
      offset: 10,
    });
  });

  it("resumes a stream that was cut", async () => {
    const { client, address, admin } = await startEngine();
    const faults = { cutAfterTokens: 4 };
    await admin.send({ method: "POST", path: "/admin/faults", body: faults });
    const sent = await client.send(address, createRequest("a1"), end.signal);
    const start = await readText(sent._unsafeUnwrap());
    expect(start).to.include({ complete: false, offset: 4 });
    expect(start.kind).to.equal(EndpointErrorKind.Lost);
    const resumed = await client.resume(
      address,
      { attempt: "a1", offset: 4 },
      end.signal,
    );
    const rest = await readText(resumed._unsafeUnwrap());
    expect(start.text + rest.text).to.equal(ANSWER);
    expect(rest.complete).to.equal(true);
  });

  it("continues on another engine behind the text that was delivered", async () => {
    const { client, address } = await startEngine();
    const delivered = ANSWER.slice(0, ANSWER.indexOf(" ", 12));
    const request = createRequest("a2", { continue_from: delivered });
    const sent = await client.send(address, request, end.signal);
    const rest = await readText(sent._unsafeUnwrap());
    expect(delivered + rest.text).to.equal(ANSWER);
    expect(rest.offset).to.equal(10);
  });

  it("tells that a stream is gone, and that a cancel is done", async () => {
    const { client, address, admin } = await startEngine();
    const resumed = await client.resume(
      address,
      { attempt: "nobody's", offset: 0 },
      end.signal,
    );
    expect(resumed.isErr()).to.equal(true);
    const sent = await client.send(
      address,
      createRequest("a1", { prompt: "x [tokens:30]" }),
      end.signal,
    );
    sent._unsafeUnwrap();
    (await client.cancel(address, "a1", end.signal))._unsafeUnwrap();
    const counters = await admin.read<Record<string, number>>(
      "/admin/counters",
    );
    expect(counters["cancelled"]).to.equal(1);
  });

  const faultCases = [
    {
      name: "an answer of another attempt",
      faults: { crossAnswers: 1 },
      options: {},
      kind: EndpointErrorKind.CrossedAnswer,
    },
    {
      name: "an answer that comes too late",
      faults: { lateAnswers: 1, lateMilliseconds: 10_000 },
      options: {},
      kind: EndpointErrorKind.TimedOut,
    },
    {
      name: "a crash by one request too many",
      faults: {},
      options: { coldSlots: 0 },
      kind: EndpointErrorKind.Lost,
    },
  ];
  for (const { name, faults, options, kind } of faultCases) {
    it(`tells ${kind} for ${name}`, async () => {
      const { client, address, admin } = await startEngine(options);
      await admin.send({ method: "POST", path: "/admin/faults", body: faults });
      const request = createRequest("a1", { stream: false });
      const timeout = { firstByteTimeoutMilliseconds: 200 };
      const sent = await client.send(
        address,
        { ...request, ...timeout },
        end.signal,
      );
      expect(sent._unsafeUnwrapErr().kind).to.equal(kind);
    });
  }

  it("tells that nothing was sent to an engine that is down", async () => {
    const { client, address, admin } = await startEngine();
    await admin.send({ method: "POST", path: "/admin/crash" });
    const sent = await client.send(address, createRequest("a1"), end.signal);
    expect(sent._unsafeUnwrapErr().kind).to.equal(EndpointErrorKind.NotSent);
  });

  it("takes the answer of the next attempt after a doubled one", async () => {
    const { client, address, admin } = await startEngine();
    const faults = { duplicateAnswers: 1 };
    await admin.send({ method: "POST", path: "/admin/faults", body: faults });
    for (const attempt of ["a1", "a2", "a3"]) {
      const prompt = `${attempt} [tokens:3]`;
      const request = createRequest(attempt, { prompt, stream: false });
      const sent = await client.send(address, request, end.signal);
      const parts: Uint8Array[] = [];
      for await (const part of sent._unsafeUnwrap().body) {
        parts.push(part);
      }
      const body = JSON.parse(Buffer.concat(parts).toString("utf8"));
      expect(body.choices[0].text).to.equal(generateAnswer(prompt, MAX_TOKENS));
    }
  });

  it("reads the load report", async () => {
    const { client, address } = await startEngine();
    const load = await client.readLoad(address, end.signal);
    expect(load._unsafeUnwrap()).to.include({
      running: 0,
      waiting: 0,
      slots: 8,
    });
  });
});
