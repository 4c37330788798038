import { expect } from "chai";
import { afterEach, beforeEach, describe, it } from "mocha";
import { type CallRecord, CallVerdict } from "../load/call_record.ts";
import { type ProofFleet, startProofFleet } from "./proof_fleet.ts";

const TOKENS = 40;
const LONG_TOKENS = 150;
const CALLS_EACH = 10;
/** Longer than the lease, which is 6 s. */
const FREEZE_MILLISECONDS = 8_000;

interface TakeoverCase {
  title: string;
  /** Takes the scheduler's VM away. */
  strike: (proof: ProofFleet, vm: string) => Promise<void>;
  /** Brings it back while requests still wait; not at all when absent. */
  restore?: (proof: ProofFleet, vm: string) => Promise<void>;
}

const CASES: TakeoverCase[] = [
  {
    title: "is killed",
    strike: async (proof, vm) => {
      const { process } = proof.fleet.router(vm);
      process.kill();
      await process.ended;
    },
  },
  {
    title: "is killed and restarted empty",
    strike: (proof, vm) => proof.fleet.router(vm).restart(),
  },
  {
    title: "is frozen for longer than its lease, and woken",
    strike: (proof, vm) => {
      proof.fleet.router(vm).process.freeze();
      return Promise.resolve();
    },
    restore: async (proof, vm) => {
      await proof.pause(FREEZE_MILLISECONDS);
      proof.fleet.router(vm).process.thaw();
    },
  },
  {
    title: "is cut off from all, and returns",
    strike: (proof, vm) => proof.fleet.parts.network.cutOffVm(vm),
    restore: async (proof) => {
      await proof.pause(FREEZE_MILLISECONDS);
      await proof.fleet.parts.network.heal();
    },
  },
  {
    title: "is killed while the platform is down",
    strike: async (proof, vm) => {
      await proof.fleet.parts.platform.applyFaults({ outage: true });
      const { process } = proof.fleet.router(vm);
      process.kill();
      await process.ended;
    },
  },
];

describe("takeover of a pool whose scheduler", () => {
  let end: AbortController;
  let proof: ProofFleet;

  beforeEach(async () => {
    end = new AbortController();
    proof = await startProofFleet({
      zones: ["zone-a"],
      routersPerZone: 3,
      enginesPerZone: 2,
      plainServicesPerZone: 0,
      engine: { "slots": 4, "cold-slots": 2, "token-ms": 20 },
      engineLimits: { coldLimit: 2, limitCeiling: 4 },
    }, end.signal);
  });

  afterEach(async () => {
    await proof?.stop();
    end.abort();
  });

  for (const each of CASES) {
    it(`${each.title}: no request is lost, no engine falls over`, async () => {
      await proof.sendText({ vm: "vm-a1", prompt: "first", tokens: 1 });
      const scheduler = await findScheduler(proof);
      const others = proof.fleet.parts.routers
        .map(({ vm }) => vm)
        .filter((vm) => vm !== scheduler);
      // What the scheduler's own VM has at the engines runs on without it.
      const own = sendCalls(proof, [scheduler], LONG_TOKENS);
      const calls = sendCalls(proof, others);
      await proof.waitForTokens(TOKENS);
      await each.strike(proof, scheduler);
      await each.restore?.(proof, scheduler);
      const late = sendCalls(proof, others);
      for (const { verdict, problem } of [...await calls, ...await late]) {
        expect(verdict, problem).to.equal(CallVerdict.Whole);
      }
      await own;
      expect(await proof.sumEngines("overloads"), "overloads").to.equal(0);
      expect(await findScheduler(proof)).to.be.oneOf([...others, scheduler]);
    }).timeout(40_000);
  }
});

function sendCalls(
  proof: ProofFleet,
  vms: readonly string[],
  tokens = TOKENS,
): Promise<CallRecord[]> {
  return Promise.all(
    vms.flatMap((vm) =>
      Array.from({ length: CALLS_EACH }, (_, index) =>
        proof.sendText({
          vm,
          prompt: `takeover ${vm} ${index}`,
          tokens,
        }))
    ),
  );
}

/** The VM that schedules the only pool, by the logs. */
async function findScheduler(proof: ProofFleet): Promise<string> {
  const query = { sentence: "schedules a pool from now on" };
  await proof.wait(
    "a VM schedules the pool",
    () => proof.fleet.findLogLines(query).length > 0,
  );
  const lines = proof.fleet.parts.routers.flatMap(({ vm }) =>
    proof.fleet.router(vm).findLogLines(query)
      .map((line) => ({ vm, term: Number(line["term"]) }))
  );
  lines.sort((first, second) => second.term - first.term);
  return lines[0]?.vm ?? "";
}
