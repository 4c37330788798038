import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CrashEvidence } from "./crash_evidence.ts";
import { DEFAULT_RETRY_BUDGET_SETTINGS, RetryBudget } from "./retry_budget.ts";
import {
  DEFAULT_SUSPECT_SETTINGS,
  SuspectRegistry,
} from "./suspect_registry.ts";

function createRegistry(clock = new ManualClock()): SuspectRegistry {
  return new SuspectRegistry(clock, DEFAULT_SUSPECT_SETTINGS);
}

function createLost(attempt: string, lostAt: number, endpoint = "e") {
  return { attempt, endpoint, fingerprint: "f", startedAt: lostAt - 5, lostAt };
}

describe("SuspectRegistry", () => {
  it("refuses a body after two crashes, for a while", async () => {
    const clock = new ManualClock();
    const registry = createRegistry(clock);
    registry.recordCrash("f", "a1");
    registry.recordCrash("f", "a1");
    expect(registry.isSuspect("f")).to.equal(true);
    expect(registry.isQuarantined("f")).to.equal(false);
    expect(registry.countQuarantined()).to.equal(0);
    registry.recordCrash("f", "a2");
    expect(registry.isQuarantined("f")).to.equal(true);
    expect(registry.countQuarantined()).to.equal(1);
    await clock.advance(DEFAULT_SUSPECT_SETTINGS.quarantineMilliseconds);
    expect(registry.isQuarantined("f")).to.equal(false);
    expect(registry.countQuarantined()).to.equal(0);
    expect(registry.isSuspect("f")).to.equal(false);
  });

  it("counts crashes at other VMs once, however often they are told", () => {
    const here = createRegistry();
    const there = createRegistry();
    here.recordCrash("f", "a1");
    there.recordCrash("f", "a2");
    for (let round = 0; round < 3; round++) {
      there.merge(here.listSuspects());
      here.merge(there.listSuspects());
    }
    expect(here.isQuarantined("f")).to.equal(true);
    expect(there.listSuspects()).to.deep.equal(
      here.listSuspects().map((suspect) => ({
        ...suspect,
        crashedAttempts: ["a2", "a1"],
      })),
    );
  });

  it("does not keep itself alive by news that goes in circles", async () => {
    const clock = new ManualClock();
    const registries = [createRegistry(clock), createRegistry(clock)];
    registries[0]!.recordCrash("f", "a1");
    const { quarantineMilliseconds } = DEFAULT_SUSPECT_SETTINGS;
    for (let round = 0; round < 12; round++) {
      const news = registries.map((registry) => registry.listSuspects());
      await clock.advance(quarantineMilliseconds / 10);
      registries[0]!.merge(news[1]!);
      registries[1]!.merge(news[0]!);
    }
    expect(registries[0]!.isSuspect("f")).to.equal(false);
    await clock.advance(quarantineMilliseconds / 10);
    expect(registries[1]!.isSuspect("f")).to.equal(false);
  });

  it("clears a neighbour of a crash that is answered later", () => {
    const registry = createRegistry();
    registry.recordCrash("f", "a1");
    registry.recordCompletion("f");
    registry.merge([
      { fingerprint: "f", crashedAttempts: ["a1"], ageMilliseconds: 0 },
    ]);
    expect(registry.isSuspect("f")).to.equal(false);
  });
});

describe("CrashEvidence", () => {
  it("counts copies that ran in one crash as one", () => {
    const registry = createRegistry();
    const evidence = new CrashEvidence(registry);
    evidence.recordLost(createLost("a1", 100));
    evidence.recordRestart("e", 110);
    evidence.recordRestart("e", 111);
    evidence.recordLost(createLost("a2", 112));
    expect(registry.isSuspect("f")).to.equal(true);
    expect(registry.isQuarantined("f")).to.equal(false);
    evidence.recordLost(createLost("a3", 300, "other"));
    evidence.recordRestart("other", 310);
    expect(registry.isQuarantined("f")).to.equal(true);
  });

  it("does not count a broken connection of an endpoint that ran on", () => {
    const registry = createRegistry();
    const evidence = new CrashEvidence(registry);
    evidence.recordLost(createLost("a1", 100));
    expect(evidence.countUndecided("f")).to.equal(1);
    evidence.recordReport("e", { sampledAt: 90, startedAt: 0 });
    expect(evidence.countUndecided("f")).to.equal(1);
    evidence.recordReport("e", { sampledAt: 200, startedAt: 0 });
    evidence.recordRestart("e", 300);
    expect(evidence.countUndecided("f")).to.equal(0);
    expect(registry.isSuspect("f")).to.equal(false);
  });
});

describe("CrashEvidence of an endpoint that nobody knew before", () => {
  it("counts an attempt that is older than the endpoint's boot", () => {
    const registry = createRegistry();
    const evidence = new CrashEvidence(registry);
    evidence.recordLost(createLost("a1", 100));
    evidence.recordReport("e", { sampledAt: 900, startedAt: 500 });
    expect(registry.isSuspect("f")).to.equal(true);
  });
});

describe("RetryBudget", () => {
  it("keeps retries a share of the requests, with a small floor", async () => {
    const clock = new ManualClock();
    const budget = new RetryBudget(clock, DEFAULT_RETRY_BUDGET_SETTINGS);
    let retries = 0;
    for (let request = 0; request < 1000; request++) {
      budget.recordRequest("a", "s");
      retries += budget.takeRetry("a", "s") ? 1 : 0;
    }
    expect(retries).to.be.within(200, 202);
    await clock.advance(2000);
    expect(budget.takeRetry("a", "s")).to.equal(true);
    expect(budget.takeRetry("a", "s")).to.equal(false);
    expect(budget.takeRetry("b", "s")).to.equal(true);
  });

  it("repeats one request as often as a crashing neighbour may hit it", () => {
    const budget = new RetryBudget(
      new ManualClock(),
      DEFAULT_RETRY_BUDGET_SETTINGS,
    );
    budget.recordRequest("a", "s");
    const { crashesUntilQuarantine } = DEFAULT_SUSPECT_SETTINGS;
    for (let crash = 0; crash < crashesUntilQuarantine; crash++) {
      expect(budget.takeRetry("a", "s"), `crash ${crash}`).to.equal(true);
    }
    expect(budget.takeRetry("a", "s")).to.equal(false);
  });
});
