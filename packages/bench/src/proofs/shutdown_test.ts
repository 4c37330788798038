import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { request } from "undici";
import { type CallRecord, CallVerdict } from "../load/call_record.ts";
import { generateDatedKey } from "../load/dated_key.ts";
import type { PlainResult } from "../load/plain_caller.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const TOKENS = 30;
const CLIENTS = 8;
/** Less than the notice that a VM gives before it leaves. */
const BALANCER_MILLISECONDS = 250;
const LONG_TOKENS = 150;
const INTERRUPTED_EXIT_CODE = 130;

/** Calls that go on until they are stopped, to VMs that are ready. */
class SteadyLoad {
  readonly records: CallRecord[] = [];
  readonly jobs: { job: string; result: PlainResult }[] = [];
  readonly #proof: ProofFleet;
  readonly #tasks: Promise<void>[];
  #stopping = false;
  #calls = 0;
  #ready: string[] = [];

  constructor(proof: ProofFleet) {
    this.#proof = proof;
    void this.#runBalancer();
    this.#tasks = Array.from(
      { length: CLIENTS },
      (_, client) => this.#runClient(client),
    );
  }

  async stop(): Promise<void> {
    this.#stopping = true;
    await Promise.all(this.#tasks);
  }

  async #runClient(client: number): Promise<void> {
    while (!this.#stopping) {
      const call = this.#calls++;
      const vm = await this.#pickReady(call);
      if (client === 0) {
        const job = `rolling-${call}`;
        const key = generateDatedKey(Date.now());
        const result = await this.#proof.sendJob({ vm, job, key });
        this.jobs.push({ job, result });
        continue;
      }
      const prompt = `rolling ${call}`;
      this.records.push(
        await this.#proof.sendText({
          vm,
          prompt,
          tokens: TOKENS,
          isStream: call % 2 === 0,
        }),
      );
    }
  }

  /** Picks a VM that was ready when the balancer last asked. */
  async #pickReady(call: number): Promise<string> {
    await this.#proof.wait("a VM is ready", () => this.#ready.length > 0);
    return this.#ready[call % this.#ready.length] ?? "";
  }

  /** Asks all VMs now and then, so it notices late, as a balancer does. */
  async #runBalancer(): Promise<void> {
    while (!this.#stopping) {
      const { routers } = this.#proof.fleet.parts;
      const answers = await Promise.all(
        routers.map(({ callerUrl }) => isReady(callerUrl)),
      );
      this.#ready = routers.map(({ vm }) => vm)
        .filter((_, index) => answers[index]);
      await this.#proof.pause(BALANCER_MILLISECONDS);
    }
  }
}

describe("graceful shutdown", () => {
  let end: AbortController;
  let proof: ProofFleet;

  beforeEach(async () => {
    end = new AbortController();
    proof = await startProofFleet({
      zones: ["zone-a", "zone-b", "zone-c"],
      proxied: false,
      engine: { "slots": 8, "cold-slots": 4, "token-ms": 10 },
      engineLimits: { coldLimit: 4, limitCeiling: 8 },
    }, end.signal);
  });

  afterEach(async () => {
    await proof?.stop();
    end.abort();
  });

  it("cuts nothing in a rolling restart of all VMs under load", async () => {
    const load = new SteadyLoad(proof);
    for (const router of proof.fleet.parts.routers) {
      router.process.terminate();
      expect((await router.process.ended).code, router.vm).to.equal(0);
      router.start();
      await router.waitUntilReady();
    }
    await load.stop();
    checkRecords(load.records);
    for (const { job, result } of load.jobs) {
      expect(result.status, result.text).to.equal(200);
      expect(await proof.countRuns(job), job).to.equal(1);
    }
    expect(load.records.length).to.be.greaterThan(CLIENTS);
    expect(await proof.sumEngines("overloads"), "overloads").to.equal(0);
  }).timeout(40_000);

  it("loses nothing of other VMs when one is killed in the middle", async () => {
    const load = new SteadyLoad(proof);
    const killed = proof.fleet.router("vm-b1");
    for (const router of proof.fleet.parts.routers) {
      if (router === killed) {
        router.process.kill();
      } else {
        router.process.terminate();
      }
      await router.process.ended;
      router.start();
      await router.waitUntilReady();
    }
    await load.stop();
    checkRecords(
      load.records.filter(({ url }) => url !== killed.callerUrl),
    );
    for (const record of load.records) {
      expect(record.verdict).to.not.be.oneOf([
        CallVerdict.Short,
        CallVerdict.Wrong,
      ]);
    }
    for (const { job } of load.jobs) {
      expect(await proof.countRuns(job), job).to.be.at.most(1);
    }
    expect(await proof.sumEngines("overloads"), "overloads").to.equal(0);
  }).timeout(40_000);

  it("serves what comes while /readyz fails, then ends", async () => {
    const router = proof.fleet.router("vm-a1");
    const running = proof.sendText({
      vm: "vm-a1",
      prompt: "long",
      tokens: LONG_TOKENS,
    });
    await proof.waitForTokens(1);
    router.process.terminate();
    await proof.wait(
      "/readyz fails",
      async () => !await isReady(router.callerUrl),
    );
    const late = await proof.sendText({
      vm: "vm-a1",
      prompt: "late",
      tokens: 1,
    });
    checkRecords([late, await running]);
    expect((await router.process.ended).code).to.equal(0);
  }).timeout(40_000);

  it("ends at once at a second signal", async () => {
    const { process } = proof.fleet.router("vm-a1");
    const running = proof.sendText({
      vm: "vm-a1",
      prompt: "interrupted",
      tokens: 1_000,
    });
    await proof.waitForTokens(1);
    process.terminate();
    await proof.wait(
      "/readyz fails",
      async () => !await isReady(proof.fleet.router("vm-a1").callerUrl),
    );
    process.terminate();
    expect((await process.ended).code).to.equal(INTERRUPTED_EXIT_CODE);
    expect((await running).verdict).to.equal(CallVerdict.Broken);
  }).timeout(40_000);
});

function checkRecords(records: readonly CallRecord[]): void {
  for (const { verdict, problem, url } of records) {
    expect(verdict, `${url}: ${problem}`).to.equal(CallVerdict.Whole);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const response = await request(`${url}/readyz`);
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
