import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { buildCall, buildEndpoint } from "../testing/fixtures.ts";
import { CrashTracker } from "./crash_tracker.ts";

function createWatch() {
  const clock = new ManualClock();
  const suspects = new SuspectRegistry(clock, DEFAULT_SUSPECT_SETTINGS);
  const watch = new CrashTracker({
    clock,
    logger: createSilentLogger(),
    suspects,
    vm: "vm-1",
  });
  return { clock, suspects, watch };
}

const CALL = buildCall(0, { fingerprint: "f" });

describe("CrashWatch", () => {
  it("does not count a lost response alone as a crash", () => {
    const { suspects, watch } = createWatch();
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e1"), CALL),
      OutcomeKind.Broken,
    );
    expect(suspects.isSuspect("f")).to.equal(false);
  });

  it("suspects a running request when the endpoint is then unreachable", () => {
    const { suspects, watch } = createWatch();
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e1"), CALL),
      OutcomeKind.StreamBroken,
    );
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e1"), buildCall(0)),
      OutcomeKind.NotSent,
    );
    expect(suspects.isSuspect("f")).to.equal(true);
  });

  it("suspects no request at another endpoint or after the confirmation time", async () => {
    const { clock, suspects, watch } = createWatch();
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e1"), CALL),
      OutcomeKind.Broken,
    );
    watch.confirmCrash("e2");
    await clock.advance(10_000);
    watch.confirmCrash("e1");
    expect(suspects.isSuspect("f")).to.equal(false);
  });

  it("clears a request that later receives a complete response", () => {
    const { suspects, watch } = createWatch();
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e1"), CALL),
      OutcomeKind.Broken,
    );
    watch.confirmCrash("e1");
    watch.recordOutcome(
      watch.registerAttempt(buildEndpoint("e2"), CALL),
      OutcomeKind.Answered,
    );
    expect(suspects.isSuspect("f")).to.equal(false);
  });

  // Equal status checks that ran in one crash were taken for several crashes and
  // refused everywhere.
  it("counts one crash once, however many equal requests ran in it", () => {
    const { suspects, watch } = createWatch();
    const attempts = [1, 2, 3].map(() =>
      watch.registerAttempt(buildEndpoint("e1"), CALL)
    );
    for (const attempt of attempts) {
      watch.recordOutcome(attempt, OutcomeKind.Broken);
    }
    watch.confirmCrash("e1");
    expect(suspects.isSuspect("f")).to.equal(true);
    expect(suspects.isQuarantined("f")).to.equal(false);
  });

  it("counts one crash once that two VMs have seen", () => {
    const first = createWatch();
    const second = createWatch();
    for (const { watch } of [first, second]) {
      watch.recordOutcome(
        watch.registerAttempt(buildEndpoint("e1"), CALL),
        OutcomeKind.Broken,
      );
      watch.confirmCrash("e1");
    }
    first.suspects.merge(second.suspects.listSuspects());
    expect(first.suspects.isQuarantined("f")).to.equal(false);
  });

  it("counts each crash of an endpoint that states no start time", () => {
    const { suspects, watch } = createWatch();
    for (let crash = 0; crash < 2; crash++) {
      expect(suspects.isQuarantined("f")).to.equal(false);
      const record = buildEndpoint("e1", { startedAtUnixMilliseconds: 0 });
      watch.recordOutcome(
        watch.registerAttempt(record, CALL),
        OutcomeKind.Broken,
      );
      watch.confirmCrash("e1");
    }
    expect(suspects.isQuarantined("f")).to.equal(true);
  });

  // A peer repeats its reports for minutes; the endpoint's next process may
  // break a connection meanwhile.
  it("does not take a peer's report of an earlier process for a crash of the next one", () => {
    const { clock, suspects, watch } = createWatch();
    const report = {
      endpoint: "e1",
      startedAtUnixMilliseconds: 1,
      ageMilliseconds: 0,
      parts: [],
    };
    watch.recordOutcome(
      watch.registerAttempt(
        buildEndpoint("e1", { startedAtUnixMilliseconds: 2 }),
        CALL,
      ),
      OutcomeKind.Broken,
    );
    watch.mergeReports([report], []);
    expect(clock.now()).to.equal(0);
    expect(suspects.isSuspect("f")).to.equal(false);
    watch.mergeReports([{ ...report, startedAtUnixMilliseconds: 2 }], []);
    expect(suspects.isSuspect("f")).to.equal(true);
  });
});
