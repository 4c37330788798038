import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ExecutionKind, type KeyedCallResult } from "./execution.ts";
import { createAnswer, OnceFleet } from "./testing/once_fleet.ts";

const SEEDS = 40;
const STEPS = 150;
const JOBS = 10;
const VMS = ["v1", "v2", "v3", "v4"];
const CUTS = ["v1-v2", "v1-v3", "v2-v3", "v3-v4"];

interface Job {
  job: string;
  key: string;
}

interface Tally {
  answered: number;
  notRun: number;
  unknown: number;
}

/** Half of the jobs have callers' keys, half have issued ones. */
function createJobs(fleet: OnceFleet): Job[] {
  return Array.from({ length: JOBS }, (_, number) => {
    const home = VMS[number % VMS.length] as string;
    const key = number % 2 === 0
      ? `key-${number}`
      : fleet.vm(home).calls.issueKey("bakery");
    return { job: `j${number}`, key };
  });
}

function judgeResult(
  fleet: OnceFleet,
  job: Job,
  options: { result: KeyedCallResult; tally: Tally },
): void {
  const { execution } = options.result._unsafeUnwrap();
  const runs = fleet.endpoint.countRuns(job.job);
  switch (execution.kind) {
    case ExecutionKind.Answered:
      expect(execution).to.deep.equal(
        createAnswer(job.job, fleet.endpoint.answerBytes),
      );
      expect(runs).to.equal(1);
      options.tally.answered++;
      return;
    case ExecutionKind.NotRun:
      options.tally.notRun++;
      return;
    case ExecutionKind.Unknown:
      options.tally.unknown++;
  }
}

function applyFault(fleet: OnceFleet, random: RandomSource): void {
  const { faults, endpoint, cuts } = fleet;
  const faultList: (() => void)[] = [
    () => faults.outage = !faults.outage,
    () => faults.outage = false,
    () => faults.lostAnswers = random.nextInteger(0, 3),
    () => faults.delayMilliseconds = random.pick([0, 0, 50, 800]) as number,
    () => cuts.add(random.pick(CUTS) as string),
    () => cuts.clear(),
    () => fleet.kill(random.pick(VMS) as string),
    () => endpoint.script.push(random.pick(["refuse", "lose"]) as "lose"),
    () => fleet.lostMessages = random.nextInteger(0, 2),
  ];
  random.pick(faultList)?.();
}

async function runSchedule(
  seed: number,
  collectors: readonly string[],
): Promise<Tally> {
  const random = new RandomSource(seed);
  const fleet = new OnceFleet({ pollMilliseconds: 500 }, collectors);
  const jobs = createJobs(fleet);
  const tally: Tally = { answered: 0, notRun: 0, unknown: 0 };
  const failures: unknown[] = [];
  const startCall = (job: Job, vm: string) => {
    const runsBefore = fleet.endpoint.countRuns(job.job);
    const called = fleet.call(vm, job).then((result) => {
      judgeResult(fleet, job, { result, tally });
      const { execution } = result._unsafeUnwrap();
      if (execution.kind === ExecutionKind.NotRun) {
        expect(runsBefore, `${job.job} had run before`).to.equal(0);
      }
    });
    called.catch((thrown) => failures.push(thrown));
    return called;
  };
  for (let step = 0; step < STEPS; step++) {
    if (random.nextFraction() < 0.4) {
      applyFault(fleet, random);
    }
    const job = random.pick(jobs) as Job;
    void startCall(job, random.pick(VMS) as string);
    await fleet.clock.advance(random.nextInteger(1, 400));
  }
  fleet.faults.outage = false;
  fleet.faults.delayMilliseconds = 0;
  fleet.cuts.clear();
  fleet.endpoint.script = [];
  await fleet.clock.advance(60_000);
  for (const job of jobs) {
    await fleet.wait(startCall(job, random.pick(VMS) as string));
    expect(fleet.endpoint.countRuns(job.job)).to.be.at.most(1);
  }
  expect(failures).to.deep.equal([]);
  return tally;
}

describe("keyed calls under random faults", () => {
  const cases: [string, string[]][] = [
    ["each VM writing its rows", []],
    ["two VMs collecting rows", ["v1", "v3"]],
  ];
  for (const [title, collectors] of cases) {
    it(`run at most once and end truly with ${title}`, async () => {
      const total: Tally = { answered: 0, notRun: 0, unknown: 0 };
      for (let seed = 1; seed <= SEEDS; seed++) {
        try {
          const tally = await runSchedule(seed, collectors);
          total.answered += tally.answered;
          total.notRun += tally.notRun;
          total.unknown += tally.unknown;
        } catch (thrown) {
          throw new Error(`seed ${seed} failed`, { cause: thrown });
        }
      }
      // The schedules must not be so harsh that nothing is left to judge.
      expect(total.answered).to.be.above(total.unknown / 4);
      expect(total.notRun).to.be.above(SEEDS);
    });
  }
});
