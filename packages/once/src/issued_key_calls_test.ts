import { Deferred, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { IssuedKeys, parseIssuedKey } from "./issued_keys.ts";
import { describeResult, OnceFleet } from "./testing/once_fleet.ts";

const MINUTE = 60_000;
const JOB = "j1";
const DONE = "j1 done xxxxxxxxxxxx";

interface Cell {
  title: string;
  act: (fleet: OnceFleet, key: string) => Promise<string[]>;
  seen: string[];
  runs: number;
}

async function collect(
  fleet: OnceFleet,
  key: string,
  ...vms: string[]
): Promise<string[]> {
  const seen: string[] = [];
  for (const vm of vms) {
    seen.push(describeResult(await fleet.run(vm, { key, job: JOB })));
  }
  return seen;
}

const CELLS: Cell[] = [
  {
    title: "run, replayed at the home and at another VM",
    act: (fleet, key) => collect(fleet, key, "v1", "v1", "v2"),
    seen: [DONE, DONE, DONE],
    runs: 1,
  },
  {
    title: "run while the platform is down",
    act: (fleet, key) => {
      fleet.faults.outage = true;
      return collect(fleet, key, "v2", "v1", "v3");
    },
    seen: [DONE, DONE, DONE],
    runs: 1,
  },
  {
    title: "sent to two VMs at the same moment",
    act: async (fleet, key) => {
      const both = await fleet.wait(Promise.all([
        fleet.call("v2", { key, job: JOB }),
        fleet.call("v3", { key, job: JOB }),
      ]));
      return both.map(describeResult);
    },
    seen: [DONE, DONE],
    runs: 1,
  },
  {
    title: "passed on over a connection that loses messages",
    act: (fleet, key) => {
      fleet.lostMessages = 3;
      return collect(fleet, key, "v2");
    },
    seen: [DONE],
    runs: 1,
  },
  {
    title: "long and passed on: sent again, run once, answered once",
    act: async (fleet, key) => {
      const hold = new Deferred<void>();
      fleet.endpoint.hold = hold;
      const call = fleet.call("v2", { key, job: JOB });
      await fleet.clock.advance(5_000);
      hold.resolve();
      const seen = describeResult(await fleet.wait(call));
      await fleet.clock.advance(5_000);
      return [seen, `${fleet.resultsSent} result`];
    },
    seen: [DONE, "1 result"],
    runs: 1,
  },
  {
    title: "repeated in a zone that is cut off from the home",
    act: async (fleet, key) => {
      const seen = await collect(fleet, key, "v1");
      fleet.cuts.add("v1-v2");
      seen.push(...await collect(fleet, key, "v2"));
      fleet.cuts.clear();
      return [...seen, ...await collect(fleet, key, "v2")];
    },
    seen: [DONE, "unknown", DONE],
    runs: 1,
  },
  {
    title: "repeated after its home has restarted",
    act: async (fleet, key) => {
      const seen = await collect(fleet, key, "v1");
      fleet.kill("v1");
      return [...seen, ...await collect(fleet, key, "v1", "v2")];
    },
    seen: [DONE, "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "first used after its home has restarted",
    act: (fleet, key) => {
      fleet.kill("v1");
      return collect(fleet, key, "v1", "v2");
    },
    seen: ["unknown", "unknown"],
    runs: 0,
  },
  {
    title: "not run, then repeated",
    act: (fleet, key) => {
      fleet.endpoint.script = ["refuse"];
      return collect(fleet, key, "v2", "v2", "v1");
    },
    seen: ["not_run", DONE, DONE],
    runs: 1,
  },
  {
    title: "lost on the way to the endpoint",
    act: (fleet, key) => {
      fleet.endpoint.script = ["lose"];
      return collect(fleet, key, "v1", "v1", "v2");
    },
    seen: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "the router fails while the call runs",
    act: (fleet, key) => {
      fleet.endpoint.script = ["throw"];
      return collect(fleet, key, "v1", "v1");
    },
    seen: ["unknown", "unknown"],
    runs: 1,
  },
  {
    title: "first used after it has expired",
    act: async (fleet, key) => {
      await fleet.clock.advance(10 * MINUTE);
      return collect(fleet, key, "v1", "v2");
    },
    seen: ["expired", "expired"],
    runs: 0,
  },
  {
    title: "repeated after it has expired, and after its result is gone",
    act: async (fleet, key) => {
      const seen = await collect(fleet, key, "v1");
      await fleet.clock.advance(30 * MINUTE);
      seen.push(...await collect(fleet, key, "v2"));
      await fleet.clock.advance(40 * MINUTE);
      return [...seen, ...await collect(fleet, key, "v1", "v2")];
    },
    seen: [DONE, DONE, "expired", "expired"],
    runs: 1,
  },
  {
    title: "repeated with another body",
    act: async (fleet, key) => {
      const seen = await collect(fleet, key, "v1");
      for (const vm of ["v1", "v2"]) {
        const other = await fleet.run(vm, { key, job: "j2" });
        seen.push(describeResult(other));
      }
      return seen;
    },
    seen: [DONE, "mismatch", "mismatch"],
    runs: 1,
  },
];

describe("calls with issued keys", () => {
  for (const { title, act, seen, runs } of CELLS) {
    it(title, async () => {
      const fleet = new OnceFleet();
      const key = fleet.vm("v1").calls.issueKey("bakery");
      expect(await act(fleet, key)).to.deep.equal(seen);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(runs);
      expect(fleet.endpoint.countRuns("j2")).to.equal(0);
    });
  }

  it("is refused to another organisation, and when forged", async () => {
    const fleet = new OnceFleet();
    const key = fleet.vm("v1").calls.issueKey("camp");
    const forged = key.slice(0, -1) + (key.endsWith("A") ? "B" : "A");
    expect(await collect(fleet, key, "v1", "v2")).to.deep.equal(
      ["notIssued", "notIssued"],
    );
    expect(await collect(fleet, forged, "v1")).to.deep.equal(["notIssued"]);
    expect(await collect(fleet, "rk1.x", "v1")).to.deep.equal(["malformed"]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
  });

  it("ends at once for a caller of a VM whose home is dead", async () => {
    const fleet = new OnceFleet();
    const key = fleet.vm("v1").calls.issueKey("bakery");
    fleet.kill("v1");
    fleet.dead.add("v1");
    const before = fleet.clock.now();
    expect(await collect(fleet, key, "v2")).to.deep.equal(["unknown"]);
    expect(fleet.clock.now() - before).to.be.below(100);
  });
});

describe("IssuedKeys", () => {
  function createKeys(secret: string, vm = "zone a.vm/1") {
    return new IssuedKeys({
      vm,
      incarnation: "i1",
      clock: new ManualClock(),
      secret: new TextEncoder().encode(secret),
      lifetimeMilliseconds: MINUTE,
    });
  }

  it("names its home and is never issued twice", () => {
    const keys = createKeys("a");
    const first = keys.issue("bakery");
    expect(keys.issue("bakery")).to.not.equal(first);
    const parsed = parseIssuedKey(first)._unsafeUnwrap();
    expect(parsed).to.include({ vm: "zone a.vm/1", incarnation: "i1" });
    expect(keys.isOwn(parsed)).to.equal(true);
    expect(keys.computeExpiry(parsed)).to.equal(MINUTE);
  });

  it("is genuine only with the process's own secret", () => {
    const key = createKeys("a").issue("bakery");
    expect(createKeys("a").isGenuine(key, "bakery")).to.equal(true);
    expect(createKeys("b").isGenuine(key, "bakery")).to.equal(false);
    expect(createKeys("a").isGenuine(key, "camp")).to.equal(false);
  });
});
