import { Deferred } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  createDatedKey,
  describeResult,
  OnceFleet,
} from "./testing/once_fleet.ts";

const HOUR_MILLISECONDS = 3_600_000;
const JOB = "j1";
const ANSWER = "j1 done xxxxxxxxxxxx";
const CALL = { key: "k1", job: JOB };

/** A test case: its actions, the results that callers get, and the runs of the job. */
interface TestCase {
  title: string;
  act: (fleet: OnceFleet) => Promise<string[]>;
  expected: string[];
  runs: number;
}

/** Starts a call at v1 that has reached the endpoint, but is not yet answered. */
async function startHeldCall(fleet: OnceFleet) {
  const hold = new Deferred<void>();
  fleet.endpoint.hold = hold;
  const first = fleet.startCall("v1", CALL);
  while (fleet.endpoint.countRuns(JOB) === 0) {
    await fleet.clock.advance(10);
  }
  return { hold, first };
}

async function runCalls(
  fleet: OnceFleet,
  ...vms: string[]
): Promise<string[]> {
  const results: string[] = [];
  for (const vm of vms) {
    results.push(describeResult(await fleet.runCall(vm, CALL)));
  }
  return results;
}

async function waitForRecords(fleet: OnceFleet, vm: string): Promise<void> {
  await fleet.wait(fleet.vm(vm).calls.settle());
}

const CASES: TestCase[] = [
  {
    title: "a first call and its retries at the same and at another VM",
    act: async (fleet) => {
      const results = await runCalls(fleet, "v1", "v1");
      await waitForRecords(fleet, "v1");
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: [ANSWER, ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "the same key at two VMs at the same time",
    act: async (fleet) => {
      const both = await fleet.wait(
        Promise.all([fleet.startCall("v1", CALL), fleet.startCall("v2", CALL)]),
      );
      return both.map(describeResult);
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "retries at the same and at another VM while the call runs",
    act: async (fleet) => {
      const { hold, first } = await startHeldCall(fleet);
      const same = fleet.startCall("v1", CALL);
      const other = fleet.startCall("v2", CALL);
      await fleet.clock.advance(1_000);
      hold.resolve();
      const all = await fleet.wait(Promise.all([first, same, other]));
      return all.map(describeResult);
    },
    expected: [ANSWER, ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "a retry after the caller has disconnected",
    act: async (fleet) => {
      const caller = new AbortController();
      const hold = new Deferred<void>();
      fleet.endpoint.hold = hold;
      const first = fleet.startCall("v1", { ...CALL, signal: caller.signal });
      await fleet.clock.advance(100);
      caller.abort();
      const disconnected = describeResult(await first);
      const retry = fleet.startCall("v1", CALL);
      hold.resolve();
      return [disconnected, describeResult(await fleet.wait(retry))];
    },
    expected: ["unknown", ANSWER],
    runs: 1,
  },
  {
    title: "the answer to the insert is lost",
    act: async (fleet) => {
      fleet.faults.lostAnswers = 1;
      const results = await runCalls(fleet, "v1");
      await waitForRecords(fleet, "v1");
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "all answers to writes to the platform are lost",
    act: async (fleet) => {
      fleet.faults.lostAnswers = 1_000;
      const results = await runCalls(fleet, "v1");
      await waitForRecords(fleet, "v1");
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "the platform is slow",
    act: async (fleet) => {
      fleet.faults.delayMilliseconds = 1_500;
      const both = await fleet.wait(
        Promise.all([fleet.startCall("v1", CALL), fleet.startCall("v2", CALL)]),
      );
      return both.map(describeResult);
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "a platform outage before the insert, and recovery",
    act: async (fleet) => {
      fleet.faults.outage = true;
      const results = await runCalls(fleet, "v1", "v2");
      fleet.faults.outage = false;
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: ["unknown", "unknown", ANSWER],
    runs: 1,
  },
  {
    title: "a platform outage after the insert, and recovery",
    act: async (fleet) => {
      const { hold, first } = await startHeldCall(fleet);
      fleet.faults.outage = true;
      hold.resolve();
      const results = [describeResult(await fleet.wait(first))];
      results.push(...await runCalls(fleet, "v1", "v2"));
      fleet.faults.outage = false;
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: [ANSWER, ANSWER, "unknown", ANSWER],
    runs: 1,
  },
  {
    title: "the owner dies while the call runs",
    act: async (fleet) => {
      await startHeldCall(fleet);
      fleet.kill("v1");
      return await runCalls(fleet, "v2", "v1", "v2");
    },
    expected: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "the owner dies after claiming the row, before sending the call",
    act: async (fleet) => {
      fleet.endpoint.script = ["stall"];
      void fleet.startCall("v1", CALL);
      await fleet.waitForRow();
      fleet.kill("v1");
      return await runCalls(fleet, "v2", "v1");
    },
    expected: ["unknown", "unknown"],
    runs: 0,
  },
  {
    title:
      "the owner dies after the call has completed, before recording the result",
    act: async (fleet) => {
      const results = await runCalls(fleet, "v1");
      fleet.kill("v1");
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: [ANSWER, "unknown"],
    runs: 1,
  },
  {
    title: "the owner is partitioned from the other VM, but not from the table",
    act: async (fleet) => {
      fleet.partitions.add("v1-v2");
      const { hold, first } = await startHeldCall(fleet);
      const other = fleet.startCall("v2", CALL);
      await fleet.clock.advance(10_000);
      hold.resolve();
      const all = await fleet.wait(Promise.all([first, other]));
      return all.map(describeResult);
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "the connection to the endpoint is lost",
    act: async (fleet) => {
      fleet.endpoint.script = ["lose"];
      const results = await runCalls(fleet, "v1", "v1");
      await waitForRecords(fleet, "v1");
      return [...results, ...await runCalls(fleet, "v2")];
    },
    expected: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "an internal error of the router while the call runs",
    act: async (fleet) => {
      fleet.endpoint.script = ["throw"];
      return await runCalls(fleet, "v1", "v1", "v2");
    },
    expected: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "a call that is not run, then retried at the same VM",
    act: async (fleet) => {
      fleet.endpoint.script = ["refuse"];
      return await runCalls(fleet, "v1", "v1", "v1");
    },
    expected: ["not_run", ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "a call that is not run, then retried at two VMs at the same time",
    act: async (fleet) => {
      fleet.endpoint.script = ["refuse"];
      const results = await runCalls(fleet, "v1");
      await waitForRecords(fleet, "v1");
      const both = await fleet.wait(
        Promise.all([fleet.startCall("v2", CALL), fleet.startCall("v3", CALL)]),
      );
      return [...results, ...both.map(describeResult)];
    },
    expected: ["not_run", ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "the same key with another body, at the same and at another VM",
    act: async (fleet) => {
      const results = await runCalls(fleet, "v1");
      const other = { key: CALL.key, job: "j2" };
      results.push(describeResult(await fleet.runCall("v1", other)));
      results.push(describeResult(await fleet.runCall("v2", other)));
      return results;
    },
    expected: [ANSWER, "mismatch", "mismatch"],
    runs: 1,
  },
];

describe("calls with caller-supplied keys", () => {
  for (const { title, act, expected, runs } of CASES) {
    it(title, async () => {
      const fleet = new OnceFleet();
      expect(await act(fleet)).to.deep.equal(expected);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(runs);
      expect(fleet.endpoint.countRuns("j2")).to.equal(0);
    });
  }

  for (const vm of ["v1", "v2"]) {
    it(`runs a retry at ${vm} of a call whose "not run" outcome could not be recorded`, async () => {
      const fleet = new OnceFleet();
      fleet.endpoint.script = ["refuse"];
      const first = fleet.startCall("v1", CALL);
      await fleet.waitForRow();
      fleet.faults.outage = true;
      expect(describeResult(await fleet.wait(first))).to.equal("not_run");
      await waitForRecords(fleet, "v1");
      fleet.faults.outage = false;
      expect(await runCalls(fleet, vm)).to.deep.equal([ANSWER]);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
    });
  }

  const places: [string, number, string][] = [
    ["in the row", 100, "j1 done"],
    ["in the object store", 5_000, "j1 done"],
    ["only in the memory of its owner", 200_000, "unknown"],
  ];
  for (const [place, answerBytes, afterDeath] of places) {
    it(`answers retries of a call whose result is stored ${place}, before and after its owner's death`, async () => {
      const fleet = new OnceFleet({
        rowLimitBytes: 1_000,
        objectLimitBytes: 100_000,
      });
      fleet.endpoint.answerBytes = answerBytes;
      await fleet.runCall("v1", CALL);
      await waitForRecords(fleet, "v1");
      const [replayed] = await runCalls(fleet, "v2");
      expect(replayed).to.have.length(answerBytes);
      fleet.kill("v1");
      const [later = ""] = await runCalls(fleet, "v2");
      expect(later.slice(0, afterDeath.length)).to.equal(afterDeath);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
    });
  }

  it("does not send a call that is delayed until its row may have been removed", async () => {
    const fleet = new OnceFleet();
    fleet.faults.delayMilliseconds = 61_000;
    expect(await runCalls(fleet, "v1")).to.deep.equal(["unknown"]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
    fleet.faults.delayMilliseconds = 0;
    expect(await runCalls(fleet, "v1")).to.deep.equal([ANSWER]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
  });

  it("refuses keys that are expired, dated in the future, undated or malformed", async () => {
    const fleet = new OnceFleet({ requireDatedKeys: true });
    await fleet.clock.advance(100 * HOUR_MILLISECONDS);
    const now = fleet.clock.wallTime();
    const keys = [
      createDatedKey(now - 25 * HOUR_MILLISECONDS),
      createDatedKey(now + HOUR_MILLISECONDS),
      "no-date",
      "two words",
      "x".repeat(256),
    ];
    const results: string[] = [];
    for (const key of keys) {
      results.push(
        describeResult(await fleet.runCall("v1", { key, job: JOB })),
      );
    }
    expect(results).to.deep.equal(
      ["expired", "future", "undated", "malformed", "malformed"],
    );
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
  });
});
