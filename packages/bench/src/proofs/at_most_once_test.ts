import { expect } from "chai";
import { after, afterEach, before, describe, it } from "mocha";
import { generateDatedKey } from "../load/dated_key.ts";
import type { PlainResult } from "../load/plain_caller.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const CALL_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 800;
/** Longer than the detection of a dead VM and a scheduler's lease. */
const FREEZE_MILLISECONDS = 7_000;

enum Told {
  Result = "result",
  NotRun = "not_run",
  Unknown = "unknown",
  Nothing = "nothing",
}

/** One call of a case, and what the plain services counted at its answer. */
interface Answered {
  result: PlainResult;
  told: Told;
  runs: number;
}

interface Case {
  title: string;
  /** The key is issued by vm-a1 in place of the caller's own. */
  issued?: boolean;
  /** Sends the job under a fault. */
  act: (step: CaseSteps) => Promise<void>;
  /** What a repeat by vm-b2 may be told once all is well again. */
  repeat: Told[];
  /** What the calls under the fault may be told; all when absent. */
  during?: Told[];
}

function judgeTold(result: PlainResult, job: string): Told {
  if (result.status === 200) {
    expect(JSON.parse(result.text).job).to.equal(job);
    return Told.Result;
  }
  if (result.status === 0) {
    return Told.Nothing;
  }
  expect([Told.NotRun, Told.Unknown] as string[], result.text)
    .to.include(result.outcome);
  return result.outcome as Told;
}

/** The steps that the cases are written in. */
class CaseSteps {
  readonly answers: Answered[] = [];
  readonly proof: ProofFleet;
  readonly job: string;
  readonly key: string;

  constructor(proof: ProofFleet, call: { job: string; key: string }) {
    this.proof = proof;
    this.job = call.job;
    this.key = call.key;
  }

  get fleet() {
    return this.proof.fleet;
  }

  async send(vm: string, cut?: AbortSignal): Promise<Answered> {
    const { job, key, proof } = this;
    const call = cut === undefined ? {} : { cut };
    const result = await proof.sendJob({ vm, job, key, ...call });
    const runs = await proof.countRuns(job);
    const answered = { result, told: judgeTold(result, job), runs };
    this.answers.push(answered);
    return answered;
  }

  async waitForRun(): Promise<void> {
    await this.proof.wait(
      "the job runs",
      async () => await this.proof.countRuns(this.job) === 1,
    );
  }

  async kill(vm: string): Promise<void> {
    const { process } = this.fleet.router(vm);
    process.kill();
    await process.ended;
  }

  async crashPlainServices(): Promise<void> {
    await Promise.all(
      this.fleet.parts.plainServices.map((plain) => plain.crash()),
    );
  }

  async applyPlainFaults(
    faults: Parameters<
      ProofFleet["fleet"]["parts"]["plainServices"][0]["applyFaults"]
    >[0],
  ): Promise<void> {
    for (const plain of this.fleet.parts.plainServices) {
      await plain.applyFaults(faults);
    }
  }
}

const CASES: Case[] = [
  {
    title: "the same key at two VMs at the same moment",
    act: async (step) => {
      const vms = ["vm-a1", "vm-b1", "vm-a2", "vm-b2"];
      await Promise.all(vms.map((vm) => step.send(vm)));
    },
    during: [Told.Result],
    repeat: [Told.Result],
  },
  {
    title: "a caller's repeat after its connection is cut",
    act: async (step) => {
      const cut = new AbortController();
      const first = step.send("vm-a1", cut.signal);
      await step.waitForRun();
      cut.abort();
      await first;
      await step.send("vm-a2");
    },
    during: [Told.Nothing, Told.Result],
    repeat: [Told.Result],
  },
  {
    title: "the ingress killed before sending",
    act: async (step) => {
      const query = { sentence: "request was queued" };
      await step.crashPlainServices();
      const queued = step.proof.waitForLines("vm-a1", { query, more: 1 });
      const first = step.send("vm-a1");
      await queued;
      await step.kill("vm-a1");
      await first;
      await step.send("vm-b1");
    },
    repeat: [Told.Result, Told.Unknown],
  },
  {
    title: "the ingress killed while the job runs",
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      await step.kill("vm-a1");
      await first;
      await step.send("vm-b1");
    },
    repeat: [Told.Unknown],
  },
  {
    title: "the ingress killed after its answer",
    act: async (step) => {
      await step.send("vm-a1");
      await step.kill("vm-a1");
    },
    during: [Told.Result],
    repeat: [Told.Result, Told.Unknown],
  },
  {
    title: "the endpoint killed before it runs the job",
    act: async (step) => {
      await step.applyPlainFaults({ crashBeforeRunning: 1 });
      await step.send("vm-a1");
    },
    repeat: [Told.Unknown],
  },
  {
    title: "the endpoint killed while it runs the job",
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      await step.crashPlainServices();
      await first;
    },
    during: [Told.Unknown],
    repeat: [Told.Unknown],
  },
  {
    title: "the endpoint killed after running, before it answers",
    act: async (step) => {
      await step.applyPlainFaults({ crashAfterRunning: 1 });
      await step.send("vm-a1");
    },
    during: [Told.Unknown],
    repeat: [Told.Unknown],
  },
  {
    title: "the endpoint's answer crossed with another one",
    act: async (step) => {
      await step.applyPlainFaults({ crossAnswers: 1 });
      await step.send("vm-a1");
    },
    during: [Told.Unknown],
    repeat: [Told.Unknown],
  },
  {
    title: "the endpoint's answer cut",
    act: async (step) => {
      await step.applyPlainFaults({ cutAnswers: 1 });
      await step.send("vm-a1");
    },
    during: [Told.Unknown],
    repeat: [Told.Unknown],
  },
  {
    title: "the router frozen past its lease and woken",
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      step.fleet.router("vm-a1").process.freeze();
      const repeat = step.send("vm-b1");
      await step.proof.pause(FREEZE_MILLISECONDS);
      step.fleet.router("vm-a1").process.thaw();
      await Promise.all([first, repeat]);
    },
    repeat: [Told.Result, Told.Unknown],
  },
  {
    title: "the platform down",
    act: async (step) => {
      await step.fleet.parts.platform.applyFaults({ outage: true });
      await step.send("vm-a1");
      await step.send("vm-b1");
    },
    during: [Told.Unknown, Told.NotRun],
    repeat: [Told.Result],
  },
  {
    title: "the platform slow",
    act: async (step) => {
      const { platform } = step.fleet.parts;
      await platform.applyFaults({ delayMilliseconds: 400 });
      await Promise.all([step.send("vm-a1"), step.send("vm-b1")]);
    },
    repeat: [Told.Result],
  },
  {
    title: "the platform's answers lost after the write took effect",
    act: async (step) => {
      const { platform } = step.fleet.parts;
      await platform.applyFaults({ loseWriteAnswers: 1, seed: 1 });
      await Promise.all([step.send("vm-a1"), step.send("vm-b1")]);
    },
    repeat: [Told.Result],
  },
  {
    title: "zones cut apart with the repeat in the other zone",
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      await step.fleet.parts.network.cutZones("zone-a", "zone-b");
      await step.send("vm-b1");
      await first;
    },
    repeat: [Told.Result],
  },
  {
    title: "the VM restarted empty",
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      await step.fleet.router("vm-a1").restart();
      await first;
      await step.send("vm-a1");
    },
    repeat: [Told.Unknown],
  },
  {
    title: "an issued key in a zone that is cut off from all",
    issued: true,
    act: async (step) => {
      await step.fleet.parts.network.cutOffZone("zone-a");
      await step.send("vm-a1");
      await step.send("vm-a2");
    },
    during: [Told.Result],
    repeat: [Told.Result],
  },
  {
    title: "an issued key whose zone is cut off, by another zone",
    issued: true,
    act: async (step) => {
      await step.fleet.parts.network.cutOffZone("zone-a");
      await step.send("vm-b1");
    },
    during: [Told.Unknown, Told.NotRun],
    repeat: [Told.Result],
  },
  {
    title: "an issued key whose VM restarted empty",
    issued: true,
    act: async (step) => {
      const first = step.send("vm-a1");
      await step.waitForRun();
      await step.fleet.router("vm-a1").restart();
      await first;
      await step.send("vm-a1");
    },
    during: [Told.Nothing, Told.Unknown],
    repeat: [Told.Unknown],
  },
];

describe("at most once, by the services' own count", () => {
  const end = new AbortController();
  let proof: ProofFleet;

  before(async () => {
    proof = await startProofFleet({
      enginesPerZone: 0,
      plain: {
        "call-ms": CALL_MILLISECONDS,
        "restart-ms": RESTART_MILLISECONDS,
      },
    }, end.signal);
  });

  after(async () => {
    await proof?.stop();
    end.abort();
  });

  afterEach(() => proof.settle());

  for (const [index, each] of CASES.entries()) {
    it(each.title, async () => {
      const key = each.issued
        ? await proof.issueKey("vm-a1")
        : generateDatedKey(Date.now());
      const step = new CaseSteps(proof, { job: `topper-${index}`, key });
      await each.act(step);
      const during = each.during ?? Object.values(Told);
      for (const { told, result } of step.answers) {
        expect(during, `during the fault: ${result.text}`).to.include(told);
      }
      await proof.settle();
      const last = await step.send("vm-b2");
      expect(each.repeat, `the repeat: ${last.result.text}`)
        .to.include(last.told);
      checkTruth(step.answers);
    }).timeout(40_000);
  }

  it("refuses a job without a key", async () => {
    const result = await proof.sendJob({ vm: "vm-a1", job: "bare" });
    expect(result.status, result.text).to.equal(400);
    expect(result.outcome).to.equal(Told.NotRun);
    expect(await proof.countRuns("bare")).to.equal(0);
  });

  it("met no connection whose zone cannot be told", async () => {
    expect(await proof.fleet.parts.network.findUnknownSources())
      .to.deep.equal([]);
  });
});

/** What was told at any time agrees with what the services counted. */
function checkTruth(answers: readonly Answered[]): void {
  for (const { told, runs, result } of answers) {
    expect(runs, "runs").to.be.at.most(1);
    if (told === Told.Result) {
      expect(runs, "runs at a result").to.equal(1);
    }
    if (told === Told.NotRun) {
      expect(runs, `runs at a not_run: ${result.text}`).to.equal(0);
    }
  }
}
