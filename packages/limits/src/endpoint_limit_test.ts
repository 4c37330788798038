import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointState } from "./endpoint_health.ts";
import {
  createEnd,
  createFixture,
  createReport,
  SETTINGS,
  startAll,
} from "./testing/endpoint_limit_fixture.ts";

describe("EndpointLimit counts", () => {
  it("leaves slots for foreign requests that a report shows", async () => {
    const { clock, limit } = createFixture({ coldLimit: 8 });
    const started = startAll(limit);
    await clock.advance(1000);
    started.slice(3).forEach((attempt) =>
      limit.finishAttempt(attempt, createEnd())
    );
    await clock.advance(1000);
    limit.receiveReport(createReport({ running: 5, ageMilliseconds: 400 }));
    expect(limit.foreign).to.equal(2);
    expect(limit.freeSlots).to.equal(3);
  });

  it("lowers the foreign count only after several low reports", async () => {
    const { clock, limit } = createFixture({ coldLimit: 8 });
    const foreign: number[] = [];
    for (const running of [3, 0, 3, 0, 0, 0]) {
      await clock.advance(500);
      const uptimeMilliseconds = clock.now();
      limit.receiveReport(createReport({ running, uptimeMilliseconds }));
      foreign.push(limit.foreign);
    }
    expect(foreign).to.deep.equal([3, 3, 3, 3, 3, 0]);
  });

  it("does not count its own ended attempts as foreign requests", async () => {
    const { clock, limit } = createFixture({ coldLimit: 8 });
    const started = startAll(limit);
    await clock.advance(1000);
    started.forEach((attempt) => limit.finishAttempt(attempt, createEnd()));
    await clock.advance(100);
    limit.receiveReport(createReport({ running: 8, ageMilliseconds: 20 }));
    expect(limit.foreign).to.equal(0);
    expect(limit.freeSlots).to.equal(8);
  });

  it("counts a dead ingress's attempts until reports show their end", async () => {
    const { clock, limit } = createFixture();
    startAll(limit).forEach((attempt) => limit.orphanAttempt(attempt));
    await clock.advance(1000);
    limit.receiveReport(createReport({ running: 1 }));
    expect(limit.freeSlots).to.equal(1);
    limit.receiveReport(createReport({ running: 0 }));
    expect(limit.freeSlots).to.equal(2);
  });

  it("removes a dead ingress's attempts after the orphan time-out without reports", async () => {
    const { clock, limit } = createFixture();
    startAll(limit).forEach((attempt) => limit.orphanAttempt(attempt));
    await clock.advance(SETTINGS.orphanTimeoutMilliseconds - 1);
    limit.removeExpired();
    expect(limit.freeSlots).to.equal(0);
    await clock.advance(1);
    limit.removeExpired();
    expect(limit.freeSlots).to.equal(2);
  });

  it("restores a handed-over limit only for the same boot", () => {
    for (const bootId of ["b1", "b0"]) {
      const { limit } = createFixture();
      limit.restore({ endpoint: "e", bootId, limit: 16, foreign: 0 });
      expect(limit.limit).to.equal(2);
      limit.receiveReport(createReport());
      expect(limit.limit).to.equal(bootId === "b1" ? 16 : 2);
    }
  });
});

describe("EndpointLimit health", () => {
  it("probes an endpoint that is down with one request at a time", async () => {
    const { clock, limit } = createFixture();
    const outcome = AttemptOutcome.NotSent;
    startAll(limit).forEach((attempt) =>
      limit.finishAttempt(attempt, createEnd({ outcome, bootId: "" }))
    );
    expect(limit.freeSlots).to.equal(0);
    let probes = 0;
    for (let tick = 0; tick < 600; tick++) {
      await clock.advance(100);
      const started = startAll(limit);
      expect(started.length).to.be.below(2);
      probes += started.length;
      started.forEach((attempt) =>
        limit.finishAttempt(attempt, createEnd({ outcome, bootId: "" }))
      );
    }
    expect(probes).to.be.within(6, 40);
    await clock.advance(SETTINGS.probe.maximumMilliseconds);
    const [probe] = startAll(limit);
    limit.finishAttempt(probe as string, createEnd({ bootId: "b2" }));
    expect(limit.state).to.equal(EndpointState.Up);
    expect(limit.freeSlots).to.equal(2);
  });

  it("excludes down time from the growth interval", async () => {
    const { clock, limit } = createFixture();
    const [attempt] = startAll(limit);
    const outcome = AttemptOutcome.NotSent;
    limit.finishAttempt(attempt as string, createEnd({ outcome }));
    await clock.advance(SETTINGS.probe.maximumMilliseconds);
    for (let round = 0; round < 3; round++) {
      startAll(limit).forEach((one) => limit.finishAttempt(one, createEnd()));
    }
    expect(limit.limit).to.equal(2);
  });

  it("probes at once when the endpoint reports again", () => {
    const { limit } = createFixture();
    const [attempt] = startAll(limit);
    const outcome = AttemptOutcome.NotSent;
    limit.finishAttempt(attempt as string, createEnd({ outcome }));
    limit.receiveReport(createReport({ bootId: "b2" }));
    expect(limit.state).to.equal(EndpointState.HalfOpen);
    expect(limit.freeSlots).to.equal(1);
  });

  it("keeps an endpoint up that is slow but makes progress", async () => {
    const { clock, limit } = createFixture();
    for (let poll = 0; poll < 20; poll++) {
      await clock.advance(1000);
      limit.recordProgress("b1");
      limit.markUnreachable();
    }
    expect(limit.state).to.equal(EndpointState.Up);
  });

  it("keeps an endpoint up for a while after its last progress", async () => {
    const { clock, limit } = createFixture();
    await clock.advance(60_000);
    limit.recordProgress("b1");
    for (let poll = 0; poll < 10; poll++) {
      await clock.advance(100);
      limit.markUnreachable();
    }
    expect(limit.state).to.equal(EndpointState.Up);
  });

  it("marks an endpoint as down that stops responding", async () => {
    const { clock, limit } = createFixture();
    limit.recordProgress("b1");
    for (let poll = 0; poll < 5; poll++) {
      await clock.advance(1000);
      limit.markUnreachable();
    }
    expect(limit.state).to.equal(EndpointState.Down);
  });
});
