import { connect } from "node:net";
import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { sendJson, waitUntil } from "../testing/http_calls.ts";
import { computeStock } from "./plain_calls.ts";
import { PlainServer } from "./plain_server.ts";

const CALL_MILLISECONDS = 10;
const RESTART_MILLISECONDS = 500;

class Fixture {
  readonly clock = new ManualClock();
  readonly #server: PlainServer;

  constructor(slots: number, signal: AbortSignal) {
    this.#server = new PlainServer({
      host: "127.0.0.1",
      port: 0,
      clock: this.clock,
      logger: createSilentLogger(),
      instance: "plain",
      slots,
      callMilliseconds: CALL_MILLISECONDS,
      restartMilliseconds: RESTART_MILLISECONDS,
      loadLagMilliseconds: 0,
    }, signal);
  }

  get url(): string {
    return `http://127.0.0.1:${this.#server.port}`;
  }

  async start(): Promise<void> {
    await this.#server.start();
  }

  async setFaults(faults: object): Promise<void> {
    await sendJson(`${this.#adminUrl}/admin/faults`, { body: faults });
  }

  async crash(): Promise<void> {
    await sendJson(`${this.#adminUrl}/admin/crash`, { method: "POST" });
  }

  async runs(): Promise<Record<string, number>> {
    const answer = await sendJson<{ runs: Record<string, number> }>(
      `${this.#adminUrl}/runs`,
    );
    return answer.body.runs;
  }

  async counters(): Promise<Record<string, unknown>> {
    return (await sendJson(`${this.#adminUrl}/admin/counters`)).body;
  }

  /** Sends a print job. */
  print(job: string): Promise<Response> {
    const call = fetch(`${this.url}/print`, {
      method: "POST",
      headers: { "x-attempt-id": `attempt-${job}` },
      body: JSON.stringify({ job }),
    });
    call.catch(() => {});
    return call;
  }

  get #adminUrl(): string {
    return `http://127.0.0.1:${this.#server.adminPort}`;
  }
}

let end: AbortController;

beforeEach(() => {
  end = new AbortController();
});

afterEach(() => end.abort());

async function startPlain(slots = 4): Promise<Fixture> {
  const fixture = new Fixture(slots, end.signal);
  await fixture.start();
  return fixture;
}

/** Starts a job and lets it end; returns what the caller saw. */
async function runJob(plain: Fixture, job: string): Promise<number | "cut"> {
  const call = fetch(`${plain.url}/material-issue`, {
    method: "POST",
    headers: { "x-attempt-id": "a1" },
    body: JSON.stringify({ job }),
  }).then((response) => response.status, () => "cut" as const);
  let status: number | "cut" | undefined;
  void call.then((seen) => {
    status = seen;
  });
  while (status === undefined) {
    await plain.counters();
    await plain.clock.advance(CALL_MILLISECONDS);
  }
  return status;
}

describe("plain stand-in", () => {
  it("runs a job each time that it is sent, and counts", async () => {
    const plain = await startPlain();
    expect(await runJob(plain, "j1")).to.equal(200);
    expect(await runJob(plain, "j1")).to.equal(200);
    expect(await runJob(plain, "j2")).to.equal(200);
    expect(await plain.runs()).to.deep.equal({ j1: 2, j2: 1 });
  });

  it("answers lookups with the attempt's id and the boot id", async () => {
    const plain = await startPlain();
    const call = sendJson(`${plain.url}/stock/thread`, {
      headers: { "x-attempt-id": "a7" },
    });
    await waitUntil(async () => (await plain.counters())["started"] === 1);
    await plain.clock.advance(CALL_MILLISECONDS);
    const answer = await call;
    expect(answer.body).to.deep.equal({
      item: "thread",
      quantity: computeStock("thread"),
    });
    expect(answer.headers.get("x-attempt-id")).to.equal("a7");
    expect(answer.headers.get("x-boot-id")).to.equal("plain-1");
  });

  it("refuses calls over its slots without running them", async () => {
    const plain = await startPlain(1);
    void plain.print("first");
    await waitUntil(async () => (await plain.runs())["first"] === 1);
    const refused = await sendJson(`${plain.url}/print`, {
      body: { job: "second" },
    });
    expect(refused.status).to.equal(503);
    expect(refused.headers.get("x-outcome")).to.equal("not_run");
    expect(await plain.runs()).to.deep.equal({ first: 1 });
  });

  const faultCases = [
    { faults: { crashBeforeRunning: 1 }, seen: "cut", runs: {}, crashes: 1 },
    {
      faults: { crashAfterRunning: 1 },
      seen: "cut",
      runs: { j: 1 },
      crashes: 1,
    },
    { faults: { cutAnswers: 1 }, seen: "cut", runs: { j: 1 }, crashes: 0 },
    { faults: { crossAnswers: 1 }, seen: 200, runs: { j: 1 }, crashes: 0 },
  ];
  for (const { faults, seen, runs, crashes } of faultCases) {
    it(`keeps the true count under ${JSON.stringify(faults)}`, async () => {
      const plain = await startPlain();
      await plain.setFaults(faults);
      expect(await runJob(plain, "j")).to.equal(seen);
      expect(await plain.runs()).to.deep.equal(runs);
      expect((await plain.counters())["crashes"]).to.equal(crashes);
    });
  }

  it("keeps its counts over a crash and gets a new boot id", async () => {
    const plain = await startPlain();
    const call = plain.print("j");
    await waitUntil(async () => (await plain.runs())["j"] === 1);
    await plain.crash();
    expect(await call.then(() => "answered", () => "cut")).to.equal("cut");
    await plain.clock.advance(RESTART_MILLISECONDS);
    await waitUntil(() =>
      fetch(`${plain.url}/load`).then(() => true, () => false)
    );
    const load = await sendJson(`${plain.url}/load`);
    expect(load.body).to.include({ running: 0, uptimeMilliseconds: 0 });
    expect(load.headers.get("x-boot-id")).not.to.equal("plain-1");
    expect(await plain.runs()).to.deep.equal({ j: 1 });
  });

  it("sends a second copy of an answer", async () => {
    const plain = await startPlain();
    await plain.setFaults({ duplicateAnswers: 1 });
    const socket = connect(Number(new URL(plain.url).port), "127.0.0.1");
    let received = "";
    socket.on("data", (part) => {
      received += part;
    });
    socket.write("GET /stock/thread HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitUntil(async () => (await plain.counters())["started"] === 1);
    await plain.clock.advance(CALL_MILLISECONDS);
    const body = JSON.stringify({
      item: "thread",
      quantity: computeStock("thread"),
    });
    await waitUntil(() => received.split(body).length > 2);
    expect(received.match(/HTTP\/1.1 200/g)).to.have.length(2);
    socket.destroy();
  });
});
