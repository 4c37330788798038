import { expect } from "chai";
import { after, afterEach, before, describe, it } from "mocha";
import type { EngineFaultSettings } from "../fleet/fleet_endpoint.ts";
import { type CallRecord, CallVerdict } from "../load/call_record.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const TOKENS = 60;
const TOKEN_MILLISECONDS = 20;
const STARTED_TOKENS = 20;
const CALLS_EACH = 4;
const SEED = 7;

interface FaultCase {
  title: string;
  engine?: EngineFaultSettings;
  /** Strikes once text has begun to come. */
  strike?: (proof: ProofFleet) => Promise<void>;
}

const CASES: FaultCase[] = [
  { title: "no fault" },
  { title: "crossed answers", engine: { crossAnswers: 0.2, seed: SEED } },
  { title: "doubled answers", engine: { duplicateAnswers: 0.5, seed: SEED } },
  {
    title: "late answers",
    engine: { lateAnswers: 0.5, lateMilliseconds: 500, seed: SEED },
  },
  { title: "streams cut by the engine", engine: { cutAfterTokens: 20 } },
  {
    title: "connections to the engines reset in the middle",
    strike: async (proof) => {
      const { network } = proof.fleet.parts;
      await network.applyFaults(
        ({ to }) => to.startsWith("engine-"),
        { cut: true },
      );
      await network.heal();
    },
  },
  {
    title: "an engine that crashes in the middle",
    strike: (proof) =>
      proof.fleet.parts.engines[0]?.crash() ??
        Promise.resolve(),
  },
  {
    title: "an engine that is unreachable from then on",
    strike: (proof) =>
      proof.fleet.parts.network.applyFaults(
        ({ to }) => to === "engine-a1",
        { cut: true },
      ),
  },
];

describe("the whole answer, against the engine's text", () => {
  const end = new AbortController();
  let proof: ProofFleet;

  before(async () => {
    proof = await startProofFleet({
      enginesPerZone: 2,
      plainServicesPerZone: 0,
      engine: {
        "slots": 8,
        "cold-slots": 4,
        "token-ms": TOKEN_MILLISECONDS,
      },
      engineLimits: { coldLimit: 4, limitCeiling: 8 },
      routerSettings: {
        limits: { answerBufferBytes: 1024 },
        requests: { retryBudgetRatio: 1, idleTimeoutMilliseconds: 3_000 },
      },
    }, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  afterEach(() => proof.settle());

  for (const each of CASES) {
    it(`is whole with ${each.title}`, async () => {
      for (const engine of proof.fleet.parts.engines) {
        await engine.applyFaults(each.engine ?? {});
      }
      const calls = sendToAll(proof, each.title);
      await proof.waitForTokens(TOKENS);
      await each.strike?.(proof);
      checkWhole(await calls);
    }).timeout(40_000);
  }

  it("resumes at another VM when the caller's VM was killed", async () => {
    const prompt = "resumed at another VM";
    const first = proof.sendText({ vm: "vm-a1", prompt, tokens: TOKENS });
    await proof.waitForTokens(TOKENS / 3);
    proof.fleet.router("vm-a1").process.kill();
    const record = await first;
    expect(record.verdict).to.equal(CallVerdict.Broken);
    expect(record.tokens).to.be.greaterThan(0);
    for (const vm of ["vm-b1", "vm-a2"]) {
      const rest = await proof.resumeText(vm, record);
      expect(rest.status, `${vm}: ${rest.problem}`).to.equal(200);
      expect(rest.isWhole, rest.problem).to.equal(true);
      expect(record.text + rest.text).to.equal(
        proof.generateText(prompt, TOKENS),
      );
    }
  }).timeout(40_000);

  it("ends with an error event when a resumed stream is gone", async () => {
    const prompt = "resumed and gone";
    const first = proof.sendText({ vm: "vm-a1", prompt, tokens: 200 });
    await proof.waitForTokens(STARTED_TOKENS);
    proof.fleet.router("vm-a1").process.kill();
    const record = await first;
    const resumed = proof.resumeText("vm-a2", record);
    await proof.pause(TOKEN_MILLISECONDS * STARTED_TOKENS);
    await Promise.all(
      proof.fleet.parts.engines.map((engine) => engine.crash()),
    );
    const rest = await resumed;
    expect(rest.isWhole).to.equal(false);
    expect(rest.text).to.not.include("[DONE]");
    expect(rest.problem).to.include("stream_gone");
    const expected = proof.generateText(prompt, 200);
    expect(expected.startsWith(record.text + rest.text)).to.equal(true);
  }).timeout(40_000);

  it("ends with an error event when no engine can go on", async () => {
    const call = sendLong(proof);
    await proof.waitForTokens(STARTED_TOKENS);
    await proof.fleet.parts.network.applyFaults(
      ({ to }) => to.startsWith("engine-"),
      { cut: true },
    );
    const record = await call;
    expect(record.verdict).to.equal(CallVerdict.Broken);
    expect(record.problem).to.include('"kind"');
    expect(record.problem).to.include('"remedy"');
    expect(record.problem).to.include('"outcome":"unknown"');
  }).timeout(40_000);

  it("gave no engine more than it bears", async () => {
    expect(await proof.sumEngines("overloads")).to.equal(0);
  });

  it("holds no more than its buffer for a slow caller", async () => {
    const prompt = "slow caller";
    const before = await proof.sumEngines("completed");
    const slow = await proof.openSlowly({
      vm: "vm-a2",
      prompt,
      tokens: 255,
    });
    await proof.wait(
      "the engine has finished",
      async () => await proof.sumEngines("completed") > before,
    );
    const record = await slow.readRest();
    expect(record.isWhole).to.equal(true);
    expect(record.text).to.equal(proof.generateText(prompt, 255));
  }).timeout(40_000);
});

function sendLong(proof: ProofFleet): Promise<CallRecord> {
  return proof.sendText({
    vm: "vm-a1",
    prompt: "no engine left",
    tokens: 200,
    headers: { "x-deadline-ms": "4000" },
  });
}

function sendToAll(proof: ProofFleet, name: string): Promise<CallRecord[]> {
  const calls = proof.fleet.parts.routers.flatMap(({ vm }) =>
    Array.from({ length: CALLS_EACH }, (_, index) =>
      proof.sendText({
        vm,
        prompt: `${name} ${vm} ${index}`,
        tokens: TOKENS,
        isStream: index % 2 === 0,
      }))
  );
  return Promise.all(calls);
}

function checkWhole(records: readonly CallRecord[]): void {
  for (const { verdict, problem } of records) {
    expect(verdict, problem).to.equal(CallVerdict.Whole);
  }
}
