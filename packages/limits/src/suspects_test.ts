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
  it("refuses a body for the quarantine period after two crashes", async () => {
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

  it("counts a crash at another VM once, however often it is merged", () => {
    const local = createRegistry();
    const remote = createRegistry();
    local.recordCrash("f", "a1");
    remote.recordCrash("f", "a2");
    for (let round = 0; round < 3; round++) {
      remote.merge(local.listSuspects());
      local.merge(remote.listSuspects());
    }
    expect(local.isQuarantined("f")).to.equal(true);
    expect(remote.listSuspects()).to.deep.equal(
      local.listSuspects().map((suspect) => ({
        ...suspect,
        crashedAttempts: ["a2", "a1"],
      })),
    );
  });

  it("lets suspects expire although VMs keep exchanging them", async () => {
    const clock = new ManualClock();
    const registries = [createRegistry(clock), createRegistry(clock)];
    registries[0]!.recordCrash("f", "a1");
    const { quarantineMilliseconds } = DEFAULT_SUSPECT_SETTINGS;
    for (let round = 0; round < 12; round++) {
      const updates = registries.map((registry) => registry.listSuspects());
      await clock.advance(quarantineMilliseconds / 10);
      registries[0]!.merge(updates[1]!);
      registries[1]!.merge(updates[0]!);
    }
    expect(registries[0]!.isSuspect("f")).to.equal(false);
    await clock.advance(quarantineMilliseconds / 10);
    expect(registries[1]!.isSuspect("f")).to.equal(false);
  });

  it("clears a body that is answered after a crash", () => {
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
  it("counts several copies of a body in one crash once", () => {
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

  it("does not count a broken connection to a running endpoint", () => {
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

describe("CrashEvidence of an endpoint without earlier reports", () => {
  it("counts a lost attempt that is older than the endpoint's boot", () => {
    const registry = createRegistry();
    const evidence = new CrashEvidence(registry);
    evidence.recordLost(createLost("a1", 100));
    evidence.recordReport("e", { sampledAt: 900, startedAt: 500 });
    expect(registry.isSuspect("f")).to.equal(true);
  });
});

describe("RetryBudget", () => {
  it("limits retries to a fraction of requests plus a minimum", async () => {
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

  it("allows a retry for each crash that may hit the first request", () => {
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
