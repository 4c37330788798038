import { Deferred } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  createDatedKey,
  describeResult,
  OnceFleet,
} from "./testing/once_fleet.ts";

const HOUR = 3_600_000;
const JOB = "j1";
const DONE = "j1 done xxxxxxxxxxxx";
const CALL = { key: "k1", job: JOB };

/** One cell: what is done, what each caller sees, how often the job ran. */
interface Cell {
  title: string;
  act: (fleet: OnceFleet) => Promise<string[]>;
  seen: string[];
  runs: number;
}

/** Starts a call at v1 that has run, but not ended. */
async function startHeldCall(fleet: OnceFleet) {
  const hold = new Deferred<void>();
  fleet.endpoint.hold = hold;
  const first = fleet.call("v1", CALL);
  while (fleet.endpoint.countRuns(JOB) === 0) {
    await fleet.clock.advance(10);
  }
  return { hold, first };
}

async function collect(
  fleet: OnceFleet,
  ...vms: string[]
): Promise<string[]> {
  const seen: string[] = [];
  for (const vm of vms) {
    seen.push(describeResult(await fleet.run(vm, CALL)));
  }
  return seen;
}

async function settleRecords(fleet: OnceFleet, vm: string): Promise<void> {
  await fleet.wait(fleet.vm(vm).calls.settle());
}

const CELLS: Cell[] = [
  {
    title: "a first call and its repeats at the same and another VM",
    act: async (fleet) => {
      const seen = await collect(fleet, "v1", "v1");
      await settleRecords(fleet, "v1");
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: [DONE, DONE, DONE],
    runs: 1,
  },
  {
    title: "the same key at two VMs at the same moment",
    act: async (fleet) => {
      const both = await fleet.wait(
        Promise.all([fleet.call("v1", CALL), fleet.call("v2", CALL)]),
      );
      return both.map(describeResult);
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "repeats at the same and another VM while it runs",
    act: async (fleet) => {
      const { hold, first } = await startHeldCall(fleet);
      const same = fleet.call("v1", CALL);
      const other = fleet.call("v2", CALL);
      await fleet.clock.advance(1_000);
      hold.resolve();
      const all = await fleet.wait(Promise.all([first, same, other]));
      return all.map(describeResult);
    },
    seen: [DONE, DONE, DONE],
    runs: 1,
  },
  {
    title: "a repeat after the caller was cut off",
    act: async (fleet) => {
      const caller = new AbortController();
      const hold = new Deferred<void>();
      fleet.endpoint.hold = hold;
      const first = fleet.call("v1", { ...CALL, signal: caller.signal });
      await fleet.clock.advance(100);
      caller.abort();
      const gone = describeResult(await first);
      const again = fleet.call("v1", CALL);
      hold.resolve();
      return [gone, describeResult(await fleet.wait(again))];
    },
    seen: ["unknown", DONE],
    runs: 1,
  },
  {
    title: "the insert's answer is lost",
    act: async (fleet) => {
      fleet.faults.lostAnswers = 1;
      const seen = await collect(fleet, "v1");
      await settleRecords(fleet, "v1");
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "every answer of the platform's writes is lost",
    act: async (fleet) => {
      fleet.faults.lostAnswers = 1_000;
      const seen = await collect(fleet, "v1");
      await settleRecords(fleet, "v1");
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "the platform is slow",
    act: async (fleet) => {
      fleet.faults.delayMilliseconds = 1_500;
      const both = await fleet.wait(
        Promise.all([fleet.call("v1", CALL), fleet.call("v2", CALL)]),
      );
      return both.map(describeResult);
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "the platform is down before the insert, then returns",
    act: async (fleet) => {
      fleet.faults.outage = true;
      const seen = await collect(fleet, "v1", "v2");
      fleet.faults.outage = false;
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: ["unknown", "unknown", DONE],
    runs: 1,
  },
  {
    title: "the platform goes down after the insert, then returns",
    act: async (fleet) => {
      const { hold, first } = await startHeldCall(fleet);
      fleet.faults.outage = true;
      hold.resolve();
      const seen = [describeResult(await fleet.wait(first))];
      seen.push(...await collect(fleet, "v1", "v2"));
      fleet.faults.outage = false;
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: [DONE, DONE, "unknown", DONE],
    runs: 1,
  },
  {
    title: "the owner dies while the call runs",
    act: async (fleet) => {
      await startHeldCall(fleet);
      fleet.kill("v1");
      return await collect(fleet, "v2", "v1", "v2");
    },
    seen: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "the owner dies after the row was taken, before it sends",
    act: async (fleet) => {
      fleet.endpoint.script = ["stall"];
      void fleet.call("v1", CALL);
      await fleet.waitForRow();
      fleet.kill("v1");
      return await collect(fleet, "v2", "v1");
    },
    seen: ["unknown", "unknown"],
    runs: 0,
  },
  {
    title: "the owner dies after the end, before it is recorded",
    act: async (fleet) => {
      const seen = await collect(fleet, "v1");
      fleet.kill("v1");
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: [DONE, "unknown"],
    runs: 1,
  },
  {
    title: "the owner is cut off from the other VM, not from the table",
    act: async (fleet) => {
      fleet.cuts.add("v1-v2");
      const { hold, first } = await startHeldCall(fleet);
      const other = fleet.call("v2", CALL);
      await fleet.clock.advance(10_000);
      hold.resolve();
      const all = await fleet.wait(Promise.all([first, other]));
      return all.map(describeResult);
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "the connection to the endpoint is lost",
    act: async (fleet) => {
      fleet.endpoint.script = ["lose"];
      const seen = await collect(fleet, "v1", "v1");
      await settleRecords(fleet, "v1");
      return [...seen, ...await collect(fleet, "v2")];
    },
    seen: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "the router fails while the call runs",
    act: async (fleet) => {
      fleet.endpoint.script = ["throw"];
      return await collect(fleet, "v1", "v1", "v2");
    },
    seen: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "it is not run, then repeated at the same VM",
    act: async (fleet) => {
      fleet.endpoint.script = ["refuse"];
      return await collect(fleet, "v1", "v1", "v1");
    },
    seen: ["not_run", DONE, DONE],
    runs: 1,
  },
  {
    title: "it is not run, then repeated at two VMs at once",
    act: async (fleet) => {
      fleet.endpoint.script = ["refuse"];
      const seen = await collect(fleet, "v1");
      await settleRecords(fleet, "v1");
      const both = await fleet.wait(
        Promise.all([fleet.call("v2", CALL), fleet.call("v3", CALL)]),
      );
      return [...seen, ...both.map(describeResult)];
    },
    seen: ["not_run", DONE, DONE],
    runs: 1,
  },
  {
    title: "the same key with another body, at the same and another VM",
    act: async (fleet) => {
      const seen = await collect(fleet, "v1");
      const other = { key: CALL.key, job: "j2" };
      seen.push(describeResult(await fleet.run("v1", other)));
      seen.push(describeResult(await fleet.run("v2", other)));
      return seen;
    },
    seen: [DONE, "mismatch", "mismatch"],
    runs: 1,
  },
];

describe("calls with callers' keys", () => {
  for (const { title, act, seen, runs } of CELLS) {
    it(title, async () => {
      const fleet = new OnceFleet();
      expect(await act(fleet)).to.deep.equal(seen);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(runs);
      expect(fleet.endpoint.countRuns("j2")).to.equal(0);
    });
  }

  for (const vm of ["v1", "v2"]) {
    it(`"not run" stays true when it cannot be recorded: repeat at ${vm}`, async () => {
      const fleet = new OnceFleet();
      fleet.endpoint.script = ["refuse"];
      const first = fleet.call("v1", CALL);
      await fleet.waitForRow();
      fleet.faults.outage = true;
      expect(describeResult(await fleet.wait(first))).to.equal("not_run");
      await settleRecords(fleet, "v1");
      fleet.faults.outage = false;
      expect(await collect(fleet, vm)).to.deep.equal([DONE]);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
    });
  }

  const places: [string, number, string][] = [
    ["in the row", 100, "j1 done"],
    ["in the object store", 5_000, "j1 done"],
    ["nowhere but at its owner", 200_000, "unknown"],
  ];
  for (const [place, answerBytes, afterDeath] of places) {
    it(`a result that is kept ${place}`, async () => {
      const fleet = new OnceFleet({
        rowLimitBytes: 1_000,
        objectLimitBytes: 100_000,
      });
      fleet.endpoint.answerBytes = answerBytes;
      await fleet.run("v1", CALL);
      await settleRecords(fleet, "v1");
      const [whole] = await collect(fleet, "v2");
      expect(whole).to.have.length(answerBytes);
      fleet.kill("v1");
      const [later = ""] = await collect(fleet, "v2");
      expect(later.slice(0, afterDeath.length)).to.equal(afterDeath);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
    });
  }

  it("does not send what was held up until its row may be gone", async () => {
    const fleet = new OnceFleet();
    fleet.faults.delayMilliseconds = 61_000;
    expect(await collect(fleet, "v1")).to.deep.equal(["unknown"]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
    fleet.faults.delayMilliseconds = 0;
    expect(await collect(fleet, "v1")).to.deep.equal([DONE]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(1);
  });

  it("refuses dated keys that are too old, too new or undated", async () => {
    const fleet = new OnceFleet({ requireDatedKeys: true });
    await fleet.clock.advance(100 * HOUR);
    const now = fleet.clock.wallTime();
    const keys = [
      createDatedKey(now - 25 * HOUR),
      createDatedKey(now + HOUR),
      "no-date",
      "two words",
      "x".repeat(256),
    ];
    const seen: string[] = [];
    for (const key of keys) {
      seen.push(describeResult(await fleet.run("v1", { key, job: JOB })));
    }
    expect(seen).to.deep.equal(
      ["expired", "future", "undated", "malformed", "malformed"],
    );
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
  });
});
