import { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { ExecutionKind, type KeyedCallResult } from "./execution.ts";
import { createAnswer, OnceFleet } from "./testing/once_fleet.ts";

const SEEDS = 40;
const STEPS = 150;
const JOBS = 10;
const VMS = ["v1", "v2", "v3", "v4"];
const PARTITIONS = ["v1-v2", "v1-v3", "v2-v3", "v3-v4"];

interface Job {
  job: string;
  key: string;
}

interface OutcomeCounts {
  answered: number;
  notRun: number;
  unknown: number;
}

/** Creates jobs, half of them with caller-supplied and half with issued keys. */
function createJobs(fleet: OnceFleet): Job[] {
  return Array.from({ length: JOBS }, (_, number) => {
    const issuer = VMS[number % VMS.length] as string;
    const key = number % 2 === 0
      ? `key-${number}`
      : fleet.vm(issuer).calls.issueKey("bakery");
    return { job: `j${number}`, key };
  });
}

function checkResult(
  fleet: OnceFleet,
  job: Job,
  options: { result: KeyedCallResult; counts: OutcomeCounts },
): void {
  const { execution } = options.result._unsafeUnwrap();
  const runs = fleet.endpoint.countRuns(job.job);
  switch (execution.kind) {
    case ExecutionKind.Answered:
      expect(execution).to.deep.equal(
        createAnswer(job.job, fleet.endpoint.answerBytes),
      );
      expect(runs).to.equal(1);
      options.counts.answered++;
      return;
    case ExecutionKind.NotRun:
      options.counts.notRun++;
      return;
    case ExecutionKind.Unknown:
      options.counts.unknown++;
  }
}

function applyFault(fleet: OnceFleet, random: RandomSource): void {
  const { faults, endpoint, partitions: cuts } = fleet;
  const faultList: (() => void)[] = [
    () => faults.outage = !faults.outage,
    () => faults.outage = false,
    () => faults.lostAnswers = random.nextInteger(0, 3),
    () => faults.delayMilliseconds = random.pick([0, 0, 50, 800]) as number,
    () => cuts.add(random.pick(PARTITIONS) as string),
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
): Promise<OutcomeCounts> {
  const random = new RandomSource(seed);
  const fleet = new OnceFleet({ pollMilliseconds: 500 }, collectors);
  const jobs = createJobs(fleet);
  const counts: OutcomeCounts = { answered: 0, notRun: 0, unknown: 0 };
  const failures: unknown[] = [];
  const startCall = (job: Job, vm: string) => {
    const runsBefore = fleet.endpoint.countRuns(job.job);
    const called = fleet.startCall(vm, job).then((result) => {
      checkResult(fleet, job, { result, counts });
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
  fleet.partitions.clear();
  fleet.endpoint.script = [];
  await fleet.clock.advance(60_000);
  for (const job of jobs) {
    await fleet.wait(startCall(job, random.pick(VMS) as string));
    expect(fleet.endpoint.countRuns(job.job)).to.be.at.most(1);
  }
  expect(failures).to.deep.equal([]);
  return counts;
}

describe("keyed calls under random faults", () => {
  const cases: [string, string[]][] = [
    ["each VM writing its own rows", []],
    ["two collectors writing the rows", ["v1", "v3"]],
  ];
  for (const [title, collectors] of cases) {
    it(`run at most once and report true outcomes with ${title}`, async () => {
      const total: OutcomeCounts = { answered: 0, notRun: 0, unknown: 0 };
      for (let seed = 1; seed <= SEEDS; seed++) {
        try {
          const counts = await runSchedule(seed, collectors);
          total.answered += counts.answered;
          total.notRun += counts.notRun;
          total.unknown += counts.unknown;
        } catch (thrown) {
          throw new Error(`seed ${seed} failed`, { cause: thrown });
        }
      }
      // Guards against faults that are so frequent that few outcomes are checked.
      expect(total.answered).to.be.above(total.unknown / 4);
      expect(total.notRun).to.be.above(SEEDS);
    });
  }
});
