import { Deferred, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { IssuedKeys, parseIssuedKey } from "./issued_keys.ts";
import { describeResult, OnceFleet } from "./testing/once_fleet.ts";

const MINUTE_MILLISECONDS = 60_000;
const JOB = "j1";
const ANSWER = "j1 done xxxxxxxxxxxx";

interface TestCase {
  title: string;
  act: (fleet: OnceFleet, key: string) => Promise<string[]>;
  expected: string[];
  runs: number;
}

async function runCalls(
  fleet: OnceFleet,
  key: string,
  ...vms: string[]
): Promise<string[]> {
  const results: string[] = [];
  for (const vm of vms) {
    results.push(describeResult(await fleet.runCall(vm, { key, job: JOB })));
  }
  return results;
}

const CASES: TestCase[] = [
  {
    title: "run, then replayed by the issuing VM and by another VM",
    act: (fleet, key) => runCalls(fleet, key, "v1", "v1", "v2"),
    expected: [ANSWER, ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "run during a platform outage",
    act: (fleet, key) => {
      fleet.faults.outage = true;
      return runCalls(fleet, key, "v2", "v1", "v3");
    },
    expected: [ANSWER, ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "sent to two VMs at the same time",
    act: async (fleet, key) => {
      const both = await fleet.wait(Promise.all([
        fleet.startCall("v2", { key, job: JOB }),
        fleet.startCall("v3", { key, job: JOB }),
      ]));
      return both.map(describeResult);
    },
    expected: [ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "forwarded over a connection that loses messages",
    act: (fleet, key) => {
      fleet.lostMessages = 3;
      return runCalls(fleet, key, "v2");
    },
    expected: [ANSWER],
    runs: 1,
  },
  {
    title: "long-running and forwarded: sent again, run once, answered once",
    act: async (fleet, key) => {
      const hold = new Deferred<void>();
      fleet.endpoint.hold = hold;
      const call = fleet.startCall("v2", { key, job: JOB });
      await fleet.clock.advance(5_000);
      hold.resolve();
      const result = describeResult(await fleet.wait(call));
      await fleet.clock.advance(5_000);
      return [result, `${fleet.sentResults} result`];
    },
    expected: [ANSWER, "1 result"],
    runs: 1,
  },
  {
    title: "retried from a zone that is partitioned from the issuing VM",
    act: async (fleet, key) => {
      const results = await runCalls(fleet, key, "v1");
      fleet.partitions.add("v1-v2");
      results.push(...await runCalls(fleet, key, "v2"));
      fleet.partitions.clear();
      return [...results, ...await runCalls(fleet, key, "v2")];
    },
    expected: [ANSWER, "unknown", ANSWER],
    runs: 1,
  },
  {
    title: "retried after the issuing VM has restarted",
    act: async (fleet, key) => {
      const results = await runCalls(fleet, key, "v1");
      fleet.kill("v1");
      return [...results, ...await runCalls(fleet, key, "v1", "v2")];
    },
    expected: [ANSWER, "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "first used after the issuing VM has restarted",
    act: (fleet, key) => {
      fleet.kill("v1");
      return runCalls(fleet, key, "v1", "v2");
    },
    expected: ["unknown", "unknown"],
    runs: 0,
  },
  {
    title: "not run, then retried",
    act: (fleet, key) => {
      fleet.endpoint.script = ["refuse"];
      return runCalls(fleet, key, "v2", "v2", "v1");
    },
    expected: ["not_run", ANSWER, ANSWER],
    runs: 1,
  },
  {
    title: "not answered because the connection to the endpoint is lost",
    act: (fleet, key) => {
      fleet.endpoint.script = ["lose"];
      return runCalls(fleet, key, "v1", "v1", "v2");
    },
    expected: ["unknown", "unknown", "unknown"],
    runs: 1,
  },
  {
    title: "interrupted by an internal error of the router while it runs",
    act: (fleet, key) => {
      fleet.endpoint.script = ["throw"];
      return runCalls(fleet, key, "v1", "v1");
    },
    expected: ["unknown", "unknown"],
    runs: 1,
  },
  {
    title: "first used after it has expired",
    act: async (fleet, key) => {
      await fleet.clock.advance(10 * MINUTE_MILLISECONDS);
      return runCalls(fleet, key, "v1", "v2");
    },
    expected: ["expired", "expired"],
    runs: 0,
  },
  {
    title:
      "retried after it has expired, and again after its result was evicted",
    act: async (fleet, key) => {
      const results = await runCalls(fleet, key, "v1");
      await fleet.clock.advance(30 * MINUTE_MILLISECONDS);
      results.push(...await runCalls(fleet, key, "v2"));
      await fleet.clock.advance(40 * MINUTE_MILLISECONDS);
      return [...results, ...await runCalls(fleet, key, "v1", "v2")];
    },
    expected: [ANSWER, ANSWER, "expired", "expired"],
    runs: 1,
  },
  {
    title: "retried with another body",
    act: async (fleet, key) => {
      const results = await runCalls(fleet, key, "v1");
      for (const vm of ["v1", "v2"]) {
        const other = await fleet.runCall(vm, { key, job: "j2" });
        results.push(describeResult(other));
      }
      return results;
    },
    expected: [ANSWER, "mismatch", "mismatch"],
    runs: 1,
  },
];

describe("calls with issued keys", () => {
  for (const { title, act, expected, runs } of CASES) {
    it(title, async () => {
      const fleet = new OnceFleet();
      const key = fleet.vm("v1").calls.issueKey("bakery");
      expect(await act(fleet, key)).to.deep.equal(expected);
      expect(fleet.endpoint.countRuns(JOB)).to.equal(runs);
      expect(fleet.endpoint.countRuns("j2")).to.equal(0);
    });
  }

  it("refuses a key of another organisation, a forged key and a malformed key", async () => {
    const fleet = new OnceFleet();
    const key = fleet.vm("v1").calls.issueKey("camp");
    const forged = key.slice(0, -1) + (key.endsWith("A") ? "B" : "A");
    expect(await runCalls(fleet, key, "v1", "v2")).to.deep.equal(
      ["notIssued", "notIssued"],
    );
    expect(await runCalls(fleet, forged, "v1")).to.deep.equal(["notIssued"]);
    expect(await runCalls(fleet, "rk1.x", "v1")).to.deep.equal(["malformed"]);
    expect(fleet.endpoint.countRuns(JOB)).to.equal(0);
  });

  it("reports an unknown outcome at once when the issuing VM is known to be dead", async () => {
    const fleet = new OnceFleet();
    const key = fleet.vm("v1").calls.issueKey("bakery");
    fleet.kill("v1");
    fleet.deadVms.add("v1");
    const before = fleet.clock.now();
    expect(await runCalls(fleet, key, "v2")).to.deep.equal(["unknown"]);
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
      lifetimeMilliseconds: MINUTE_MILLISECONDS,
    });
  }

  it("issues unique keys that name the VM and process that issued them", () => {
    const keys = createKeys("a");
    const first = keys.issue("bakery");
    expect(keys.issue("bakery")).to.not.equal(first);
    const parsed = parseIssuedKey(first)._unsafeUnwrap();
    expect(parsed).to.include({ vm: "zone a.vm/1", incarnation: "i1" });
    expect(keys.isOwn(parsed)).to.equal(true);
    expect(keys.computeExpiry(parsed)).to.equal(MINUTE_MILLISECONDS);
  });

  it("accepts a MAC only with the issuing process's secret and for the same organisation", () => {
    const key = createKeys("a").issue("bakery");
    expect(createKeys("a").isGenuine(key, "bakery")).to.equal(true);
    expect(createKeys("b").isGenuine(key, "bakery")).to.equal(false);
    expect(createKeys("a").isGenuine(key, "camp")).to.equal(false);
  });
});
