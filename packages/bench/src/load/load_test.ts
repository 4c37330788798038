import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import {
  createSilentLogger,
  ManualClock,
  RandomSource,
  SystemClock,
} from "@rattanvane/base";
import {
  createEngineOptions,
  EngineServer,
  formatChatPrompt,
  generateTokens,
} from "@rattanvane/emulator";
import { Agent } from "undici";
import { JsonClient } from "../common/json_client.ts";
import { CallVerdict, judgeAnswer } from "./call_record.ts";
import { type CompletionCall, CompletionCaller } from "./completion_caller.ts";
import { runClosedLoop, runOpenLoop } from "./load_loops.ts";
import { generateCall, type LoadSource } from "./load_source.ts";
import { LoadTally } from "./load_tally.ts";
import { ServiceMeter } from "./service_meter.ts";

const CLOSED_PORT_URL = "http://127.0.0.1:1";

let end: AbortController;
let agent: Agent;

beforeEach(() => {
  end = new AbortController();
  agent = new Agent();
});

afterEach(async () => {
  end.abort();
  await agent.destroy();
});

function createCaller(organisation = "bakery"): CompletionCaller {
  return new CompletionCaller({
    organisation,
    key: "k",
    clock: new SystemClock(),
    dispatcher: agent,
  });
}

function createCall(
  url: string,
  changes: Partial<CompletionCall> = {},
): CompletionCall {
  return {
    url,
    model: "assistant",
    prompt: "a caption [tokens:6]",
    maxTokens: 32,
    isChat: false,
    isStream: true,
    ...changes,
  };
}

/** Starts an engine, which speaks like a router where these tests look. */
async function startEngine(): Promise<{ url: string; admin: JsonClient }> {
  const server = new EngineServer({
    host: "127.0.0.1",
    port: 0,
    clock: new SystemClock(),
    logger: createSilentLogger(),
    engine: createEngineOptions({
      coldSlots: 8,
      tokenMilliseconds: 1,
      prefillMilliseconds: 1,
      crashMarker: "POISON",
    }),
  }, end.signal);
  await server.start();
  return {
    url: `http://127.0.0.1:${server.port}`,
    admin: new JsonClient(`http://127.0.0.1:${server.adminPort}`),
  };
}

/** Starts a server that answers everything with one text. */
async function startFixedServer(answer: {
  status: number;
  body: string;
}): Promise<string> {
  const server = createServer((_request, response) => {
    response.writeHead(answer.status, { "x-outcome": "not_run" });
    response.end(answer.body);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  end.signal.addEventListener("abort", () => server.closeAllConnections());
  end.signal.addEventListener("abort", () => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function formatChunk(text: string): string {
  return `data: ${JSON.stringify({ choices: [{ text }] })}\n\n`;
}

describe("load caller: verdicts", () => {
  const shapes = [
    { isChat: false, isStream: false },
    { isChat: false, isStream: true },
    { isChat: true, isStream: false },
    { isChat: true, isStream: true },
  ];
  for (const shape of shapes) {
    it(`takes a whole answer as whole: ${JSON.stringify(shape)}`, async () => {
      const { url } = await startEngine();
      const call = createCall(url, shape);
      const record = await createCaller().send(call, end.signal);
      expect(record).to.include({
        verdict: CallVerdict.Whole,
        status: 200,
        tokens: 6,
        problem: "",
      });
      const delays = [record.startedAt, record.firstTextAt, record.endedAt];
      expect(delays).to.deep.equal(
        [...delays].sort((a, b) => (a ?? 0) - (b ?? 0)),
      );
    });
  }

  const faultCases = [
    {
      faults: { cutAfterTokens: 2 },
      isStream: true,
      verdict: CallVerdict.Broken,
    },
    {
      faults: { cutAfterTokens: 2 },
      isStream: false,
      verdict: CallVerdict.Broken,
    },
    { faults: { crossAnswers: 1 }, isStream: true, verdict: CallVerdict.Wrong },
    {
      faults: { crossAnswers: 1 },
      isStream: false,
      verdict: CallVerdict.Wrong,
    },
    {
      faults: { duplicateAnswers: 1 },
      isStream: true,
      verdict: CallVerdict.Wrong,
    },
  ];
  for (const { faults, isStream, verdict } of faultCases) {
    const name = `${JSON.stringify(faults)}, streamed: ${isStream}`;
    it(`finds an answer ${verdict} under ${name}`, async () => {
      const { url, admin } = await startEngine();
      await admin.send({ method: "POST", path: "/admin/faults", body: faults });
      const call = createCall(url, { isStream });
      const record = await createCaller().send(call, end.signal);
      expect(record.verdict).to.equal(verdict);
    });
  }

  it("finds a short answer that ends like a whole one", async () => {
    const [first = ""] = generateTokens("a caption [tokens:6]", 32);
    const body = `${formatChunk(first)}data: [DONE]\n\n`;
    const url = await startFixedServer({ status: 200, body });
    const record = await createCaller().send(createCall(url), end.signal);
    expect(record.verdict).to.equal(CallVerdict.Short);
  });

  it("takes a stream without its end mark as broken", async () => {
    const text = generateTokens("a caption [tokens:6]", 32).join("");
    const body = formatChunk(text);
    const url = await startFixedServer({ status: 200, body });
    const record = await createCaller().send(createCall(url), end.signal);
    expect(record).to.include({ text, verdict: CallVerdict.Broken });
  });

  it("takes an error event as a broken answer and keeps its text", async () => {
    const body = `event: error\ndata: {"error":"lost"}\n\n`;
    const url = await startFixedServer({ status: 200, body });
    const record = await createCaller().send(createCall(url), end.signal);
    expect(record).to.include({
      verdict: CallVerdict.Broken,
      problem: '{"error":"lost"}',
    });
  });

  it("tells a refusal with its outcome", async () => {
    const url = await startFixedServer({ status: 503, body: "full" });
    const record = await createCaller().send(createCall(url), end.signal);
    expect(record).to.include({
      verdict: CallVerdict.Refused,
      status: 503,
      outcome: "not_run",
      problem: "full",
    });
  });

  it("tells a router that is not there", async () => {
    const call = createCall(CLOSED_PORT_URL);
    const record = await createCaller().send(call, end.signal);
    expect(record).to.include({ verdict: CallVerdict.Unreachable, status: 0 });
  });

  it("judges by the text that is due to the prompt", () => {
    const tokens = generateTokens(
      formatChatPrompt([{ role: "user", content: "x" }]),
      16,
    );
    const expected = tokens.join("");
    const cases = [
      { text: expected, looksWhole: true, verdict: CallVerdict.Whole },
      { text: "", looksWhole: true, verdict: CallVerdict.Short },
      { text: expected, looksWhole: false, verdict: CallVerdict.Broken },
      { text: `${expected}!`, looksWhole: true, verdict: CallVerdict.Wrong },
    ];
    for (const { verdict, ...received } of cases) {
      expect(judgeAnswer({ expected, ...received })).to.equal(verdict);
    }
  });
});

function createSource(url: string, name: string): LoadSource {
  return {
    caller: createCaller(name),
    urls: [url],
    model: "assistant",
    tokens: { fewest: 1, most: 4 },
    streamFraction: 0.5,
    name,
  };
}

describe("load loops", () => {
  it("keeps the asked number of clients busy and tallies them", async () => {
    const { url, admin } = await startEngine();
    const tally = new LoadTally();
    const options = {
      clock: new SystemClock(),
      tally,
      seed: 1,
      durationMilliseconds: 100,
    };
    await Promise.all([
      runClosedLoop(createSource(url, "bakery"), {
        ...options,
        clients: 2,
      }, end.signal),
      runClosedLoop(createSource(url, "depot"), {
        ...options,
        clients: 1,
      }, end.signal),
    ]);
    const counters = await admin.read<Record<string, number>>(
      "/admin/counters",
    );
    expect(counters["mostRunning"]).to.equal(3);
    expect(counters["completed"]).to.equal(tally.records.length);
    const summaries = tally.summarise();
    expect(summaries.map((each) => each.organisation))
      .to.deep.equal(["bakery", "depot"]);
    for (const summary of summaries) {
      expect(summary.verdicts.whole).to.equal(summary.calls);
      expect(summary.whole.median).to.be.above(0);
      expect(summary.whole.longest).to.be.at.least(summary.whole.median);
    }
  });

  it("offers open load at the mean rate, whatever the answers", async () => {
    const clock = new ManualClock();
    const tally = new LoadTally();
    const loop = runOpenLoop(createSource(CLOSED_PORT_URL, "bakery"), {
      clock,
      tally,
      seed: 4,
      durationMilliseconds: 10_000,
      callsPerSecond: 20,
    }, end.signal);
    await clock.advance(10_000);
    await loop;
    expect(tally.records.length).to.be.within(160, 240);
    expect(tally.count(CallVerdict.Unreachable))
      .to.equal(tally.records.length);
  });

  it("generates the same calls from the same seed", () => {
    const source = createSource("http://one", "bakery");
    const generateAll = (seed: number) => {
      const random = new RandomSource(seed);
      return Array.from(
        { length: 20 },
        (_, index) => generateCall(source, { random, index }),
      );
    };
    expect(generateAll(3)).to.deep.equal(generateAll(3));
    expect(generateAll(3)).not.to.deep.equal(generateAll(4));
  });

  it("adds service up by slices of time", async () => {
    const clock = new ManualClock();
    const meter = new ServiceMeter({ clock, sliceMilliseconds: 100 });
    meter.add("bakery", 3);
    await clock.advance(100);
    meter.add("bakery", 4);
    meter.add("depot", 5);
    await clock.advance(150);
    expect(meter.sliceCount).to.equal(2);
    expect(meter.sum("bakery", { from: 0, to: 2 })).to.equal(7);
    expect(meter.sum("bakery", { from: 1, to: 2 })).to.equal(4);
    expect(meter.sum("depot", { from: 0, to: 1 })).to.equal(0);
  });
});
