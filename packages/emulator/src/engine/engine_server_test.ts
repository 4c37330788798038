import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { startEngineFixture } from "../testing/engine_fixture.ts";
import {
  parseEvents,
  readUntilBroken,
  sendJson,
  waitUntil,
} from "../testing/http_calls.ts";
import {
  formatChatPrompt,
  generateAnswer,
  generateTokens,
} from "./answer_text.ts";

const LONG_PROMPT = "repair the flap [tokens:12]";
const LONG_ANSWER = generateAnswer(LONG_PROMPT, 64);

interface CompletionBody {
  choices: { text?: string; message?: { content: string } }[];
  usage: { completion_tokens: number };
}

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

describe("engine stand-in: answers", () => {
  it("streams the text that the pure function gives", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const call = await engine.submit({ prompt: LONG_PROMPT, stream: true });
    const response = await engine.advanceUntil(call.response);
    const stream = parseEvents(await engine.advanceUntil(response.text()));
    expect(response.headers.get("x-attempt-id")).to.equal(call.attempt);
    expect(stream.text).to.equal(LONG_ANSWER);
    expect(stream.isWhole).to.equal(true);
    expect(stream.offsets).to.deep.equal([
      ...Array.from({ length: 12 }, (_, index) => index + 1),
      12,
    ]);
  });

  it("answers a chat that is not streamed", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const messages = [{ role: "user", content: "caption for a cake" }];
    const answer = await engine.advanceUntil(
      sendJson<CompletionBody>(`${engine.url}/v1/chat/completions`, {
        body: { model: "assistant", messages, max_tokens: 9 },
      }),
    );
    const prompt = formatChatPrompt(messages);
    expect(answer.body.choices[0]?.message?.content)
      .to.equal(generateAnswer(prompt, 9));
    expect(answer.body.usage.completion_tokens)
      .to.equal(generateTokens(prompt, 9).length);
  });

  it("goes on behind a text that was already delivered", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const delivered = generateTokens(LONG_PROMPT, 64).slice(0, 5).join("");
    const call = await engine.submit({
      prompt: LONG_PROMPT,
      stream: true,
      continue_from: delivered,
    });
    const response = await engine.advanceUntil(call.response);
    const stream = parseEvents(await engine.advanceUntil(response.text()));
    expect(delivered + stream.text).to.equal(LONG_ANSWER);
    expect(stream.offsets[0]).to.equal(6);
    expect((await engine.counters())["tokens"]).to.equal(7);
  });

  it("refuses to go on behind a text that is not its own", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const answer = await sendJson(`${engine.url}/v1/completions`, {
      body: { model: "m", prompt: "a", continue_from: "not this" },
    });
    expect(answer.status).to.equal(400);
  });

  it("gives all running requests a token in each step", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const first = await engine.submit({ prompt: LONG_PROMPT });
    const second = await engine.submit({ prompt: `${LONG_PROMPT} again` });
    await engine.advanceUntil(Promise.all([first.response, second.response]));
    const counters = await engine.counters();
    expect(counters["mostRunning"]).to.equal(2);
    const wait = engine.options.prefillMilliseconds;
    const busy = wait + 11 * engine.options.tokenMilliseconds;
    expect(counters["slotMilliseconds"]).to.equal(2 * busy);
  });
});

describe("engine stand-in: capacity", () => {
  it("crashes at one request more than it bears and returns cold", async () => {
    const engine = await startEngineFixture({ coldSlots: 2 }, end.signal);
    const before = (await sendJson(`${engine.url}/load`)).body.bootId;
    const calls = [];
    for (const name of ["a", "b", "c"]) {
      calls.push(await engine.submit({ prompt: `${name} ${LONG_PROMPT}` }));
    }
    const results = await Promise.allSettled(
      calls.map((call) => call.response),
    );
    expect(results.map((result) => result.status))
      .to.deep.equal(["rejected", "rejected", "rejected"]);
    const refused = await fetch(`${engine.url}/load`).catch(() => undefined);
    expect(refused).to.equal(undefined);
    await engine.clock.advance(engine.options.restartMilliseconds);
    await waitUntil(() =>
      fetch(`${engine.url}/load`).then(() => true, () => false)
    );
    const after = await sendJson(`${engine.url}/load`);
    expect(after.body.bootId).not.to.equal(before);
    expect(after.body.uptimeMilliseconds).to.equal(0);
    expect(await engine.counters()).to.include({
      crashes: 1,
      overloads: 1,
      lost: 2,
    });
  });

  it("stays down for the last of two crashes and then returns", async () => {
    const engine = await startEngineFixture(
      { restartMilliseconds: 500 },
      end.signal,
    );
    const crash = () =>
      sendJson(`${engine.adminUrl}/crash`, { method: "POST" });
    const isUp = () =>
      fetch(`${engine.url}/load`).then(() => true, () => false);
    await crash();
    await engine.clock.advance(300);
    await crash();
    await engine.clock.advance(300);
    expect(await isUp()).to.equal(false);
    await engine.clock.advance(200);
    await waitUntil(isUp);
    await crash();
    await waitUntil(async () => !await isUp());
  });

  const warmUpCases = [
    { uptime: 0, bears: 2 },
    { uptime: 999, bears: 2 },
    { uptime: 1000, bears: 4 },
    { uptime: 2000, bears: 8 },
    { uptime: 9000, bears: 8 },
  ];
  for (const { uptime, bears } of warmUpCases) {
    it(`bears ${bears} requests after ${uptime} ms`, async () => {
      const engine = await startEngineFixture({
        coldSlots: 2,
        slots: 8,
        warmUpMilliseconds: 1000,
      }, end.signal);
      await engine.clock.advance(uptime);
      for (let index = 0; index < bears; index++) {
        await engine.submit({ prompt: `${index} ${LONG_PROMPT}` });
      }
      expect((await engine.counters())["crashes"]).to.equal(0);
      await engine.submit({ prompt: LONG_PROMPT });
      expect((await engine.counters())["overloads"]).to.equal(1);
    });
  }

  it("crashes while it runs a prompt with the marker", async () => {
    const engine = await startEngineFixture(
      { crashMarker: "POISON" },
      end.signal,
    );
    const neighbour = await engine.submit({ prompt: LONG_PROMPT });
    const poison = await engine.submit({ prompt: `POISON ${LONG_PROMPT}` });
    const results = await engine.advanceUntil(
      Promise.allSettled([neighbour.response, poison.response]),
    );
    expect(results.map((result) => result.status))
      .to.deep.equal(["rejected", "rejected"]);
    expect(await engine.counters()).to.include({ crashes: 1, overloads: 0 });
  });
});

describe("engine stand-in: streams that break", () => {
  it("resumes a cut stream at its offset", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ cutAfterTokens: 4 });
    const call = await engine.submit({ prompt: LONG_PROMPT, stream: true });
    const cut = await engine.advanceUntil(call.response);
    const start = parseEvents(await engine.advanceUntil(readUntilBroken(cut)));
    expect(start.isWhole).to.equal(false);
    expect(start.offsets).to.deep.equal([1, 2, 3, 4]);
    const resumed = await fetch(
      `${engine.url}/v1/streams/${call.attempt}/resume?offset=4`,
      { method: "POST" },
    );
    const rest = parseEvents(await engine.advanceUntil(resumed.text()));
    expect(start.text + rest.text).to.equal(LONG_ANSWER);
    expect(rest.isWhole).to.equal(true);
  });

  it("forgets a broken stream after ten seconds", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ cutAfterTokens: 4 });
    const call = await engine.submit({ prompt: LONG_PROMPT, stream: true });
    const cut = await engine.advanceUntil(call.response);
    await engine.advanceUntil(readUntilBroken(cut));
    await engine.clock.advance(10_000);
    const resumed = await fetch(
      `${engine.url}/v1/streams/${call.attempt}/resume?offset=4`,
      { method: "POST" },
    );
    expect(resumed.status).to.equal(404);
  });

  it("frees the slot of a cancelled attempt", async () => {
    const engine = await startEngineFixture({ coldSlots: 1 }, end.signal);
    const call = await engine.submit({ prompt: LONG_PROMPT, stream: true });
    const stream = `${engine.url}/v1/streams/${call.attempt}`;
    expect((await sendJson(stream, { method: "DELETE" })).status)
      .to.equal(204);
    expect((await sendJson(stream, { method: "DELETE" })).status)
      .to.equal(404);
    await engine.submit({ prompt: LONG_PROMPT });
    expect(await engine.counters()).to.include({ cancelled: 1, crashes: 0 });
  });

  it("frees the slot when the caller of a whole answer leaves", async () => {
    const engine = await startEngineFixture({ coldSlots: 1 }, end.signal);
    const leaving = new AbortController();
    const call = fetch(`${engine.url}/v1/completions`, {
      method: "POST",
      body: JSON.stringify({ model: "m", prompt: LONG_PROMPT }),
      signal: leaving.signal,
    });
    call.catch(() => {});
    await waitUntil(async () => (await engine.counters())["started"] === 1);
    leaving.abort();
    await waitUntil(async () => (await engine.counters())["cancelled"] === 1);
  });
});

describe("engine stand-in: faulty answers", () => {
  it("crosses answers", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ crossAnswers: 1, seed: 3 });
    const call = await engine.submit({ prompt: LONG_PROMPT });
    const response = await engine.advanceUntil(call.response);
    const body = await response.json() as CompletionBody;
    expect(response.headers.get("x-attempt-id")).not.to.equal(call.attempt);
    expect(body.choices[0]?.text).not.to.equal(LONG_ANSWER);
  });

  it("doubles events of a stream", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ duplicateAnswers: 1 });
    const call = await engine.submit({ prompt: LONG_PROMPT, stream: true });
    const response = await engine.advanceUntil(call.response);
    const stream = parseEvents(await engine.advanceUntil(response.text()));
    expect(stream.offsets.slice(0, 4)).to.deep.equal([1, 1, 2, 2]);
  });

  it("cuts a whole answer in the middle of its body", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ cutAfterTokens: 1 });
    const call = await engine.submit({ prompt: LONG_PROMPT });
    const response = await engine.advanceUntil(call.response);
    const failure = await response.json().catch((error) => error);
    expect(failure).to.be.an("error");
  });

  it("holds an answer back", async () => {
    const engine = await startEngineFixture({}, end.signal);
    await engine.setFaults({ lateAnswers: 1, lateMilliseconds: 700 });
    const call = await engine.submit({ prompt: "x [tokens:1]" });
    let answered = false;
    void call.response.then(() => {
      answered = true;
    });
    await engine.clock.advance(695);
    await engine.counters();
    expect(answered).to.equal(false);
    expect((await engine.advanceUntil(call.response)).status).to.equal(200);
  });

  it("refuses a fault that it does not know", async () => {
    const engine = await startEngineFixture({}, end.signal);
    const answer = await engine.setFaults({ crossAnswer: 1 });
    expect(answer.status).to.equal(400);
  });
});

describe("engine stand-in: reports and orders", () => {
  it("shortens the first token of a cached prefix", async () => {
    const engine = await startEngineFixture({
      prefillMilliseconds: 100,
      cachedPrefillMilliseconds: 10,
    }, end.signal);
    const durations = [];
    for (let round = 0; round < 2; round++) {
      const startedAt = engine.clock.now();
      const call = await engine.submit({ prompt: "same [tokens:1]" });
      await engine.advanceUntil(call.response);
      const { slotMilliseconds = 0 } = await engine.counters();
      durations.push(slotMilliseconds);
      expect(engine.clock.now()).to.be.above(startedAt);
    }
    expect(durations).to.deep.equal([100, 110]);
  });

  it("shows cache events late and with gaps", async () => {
    const engine = await startEngineFixture({
      cachePrefixes: 1,
      cacheEventLagMilliseconds: 50,
      cacheEventLoss: 0.5,
      seed: 5,
      coldSlots: 8,
    }, end.signal);
    const readEvents = async () =>
      (await sendJson<{ events: { sequence: number }[] }>(
        `${engine.url}/cache/events?after=0`,
      )).body.events;
    for (let index = 0; index < 6; index++) {
      await engine.submit({ prompt: `prefix ${index}` });
    }
    expect(await readEvents()).to.deep.equal([]);
    await engine.clock.advance(50);
    const events = await readEvents();
    expect(events).to.have.length.within(1, 10);
    const numbers = events.map((event) => event.sequence);
    const range = (numbers.at(-1) ?? 0) - (numbers[0] ?? 0) + 1;
    expect(range).to.be.above(numbers.length);
  });

  it("reports its load with a lag", async () => {
    const engine = await startEngineFixture(
      { loadLagMilliseconds: 40 },
      end.signal,
    );
    const readLoad = async () => (await sendJson(`${engine.url}/load`)).body;
    await engine.clock.advance(100);
    await engine.submit({ prompt: "x [tokens:50]" });
    expect(await readLoad()).to.include({ running: 0, ageMilliseconds: 40 });
    await engine.clock.advance(40);
    expect(await readLoad()).to.include({ running: 1, slots: 8 });
  });

  const orderCases = [
    { checksFencing: true, status: 409, fencing: 7 },
    { checksFencing: false, status: 200, fencing: 7 },
  ];
  for (const { checksFencing, status, fencing } of orderCases) {
    it(
      `answers an old order with ${status} when it ${
        checksFencing ? "checks" : "ignores"
      } fencing`,
      async () => {
        const engine = await startEngineFixture({ checksFencing }, end.signal);
        const send = (number: number) =>
          sendJson(`${engine.url}/orders`, {
            body: { fencing: number, action: "loadModel", target: "m" },
          });
        expect((await send(7)).status).to.equal(200);
        const old = await send(6);
        expect(old.status).to.equal(status);
        expect(old.body.fencing).to.equal(fencing);
      },
    );
  }
});
