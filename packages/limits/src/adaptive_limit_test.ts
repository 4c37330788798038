import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  createEnd,
  createFixture,
  createReport,
  INTERVAL,
  runRounds,
  startAll,
  startWarm,
} from "./testing/endpoint_limit_fixture.ts";

describe("EndpointLimit growth", () => {
  it("starts cold, doubles with evidence and ends at the ceiling", async () => {
    const fixture = createFixture();
    expect(fixture.limit.freeSlots).to.equal(2);
    const limits = await runRounds(fixture, { rounds: 5 });
    expect(limits).to.deep.equal([4, 8, 16, 32, 32]);
  });

  it("does not grow on completions alone that come at once", () => {
    const { limit } = createFixture();
    for (let round = 0; round < 50; round++) {
      for (const attempt of startAll(limit)) {
        limit.finishAttempt(attempt, createEnd());
      }
    }
    expect(limit.limit).to.equal(2);
  });

  it("does not grow while it is hardly used", async () => {
    const { clock, limit } = createFixture({ coldLimit: 8 });
    for (let round = 0; round < 50; round++) {
      limit.startAttempt(`single${round}`);
      await clock.advance(INTERVAL);
      limit.finishAttempt(`single${round}`, createEnd());
    }
    expect(limit.limit).to.equal(8);
  });

  it("grows on clean reports while answers take long", async () => {
    const { clock, limit } = createFixture();
    startAll(limit);
    for (let count = 0; count < 9; count++) {
      await clock.advance(500);
      const uptimeMilliseconds = clock.now();
      limit.receiveReport(createReport({ running: 2, uptimeMilliseconds }));
    }
    expect(limit.limit).to.equal(4);
  });

  it("never exceeds the slots that the endpoint reports", async () => {
    const fixture = createFixture();
    fixture.limit.receiveReport(createReport({ slots: 6 }));
    const limits = await runRounds(fixture, { rounds: 4 });
    expect(limits).to.deep.equal([4, 6, 6, 6]);
  });

  it("backs off on refusals, then adds one a round", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const [attempt] = await startWarm(fixture);
    const outcome = AttemptOutcome.EndpointRefused;
    fixture.limit.finishAttempt(attempt as string, createEnd({ outcome }));
    expect(fixture.limit.limit).to.equal(12);
    for (let count = 0; count < 12; count++) {
      await fixture.clock.advance(INTERVAL / 6);
      const name = `again${count}`;
      fixture.limit.startAttempt(name);
      fixture.limit.finishAttempt(name, createEnd());
    }
    expect(fixture.limit.limit).to.equal(13);
  });

  it("backs off on slow first bytes", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const end = { firstByteMilliseconds: 9000 };
    await runRounds(fixture, { rounds: 1, end });
    expect(fixture.limit.limit).to.equal(12);
  });

  it("backs off when the endpoint queues", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    fixture.limit.receiveReport(createReport({ running: 10, waiting: 6 }));
    expect(fixture.limit.limit).to.equal(12);
  });

  it("starts a takeover from what the endpoint is seen to bear", () => {
    const { limit } = createFixture();
    limit.receiveReport(createReport({ running: 20 }));
    expect(limit.limit).to.equal(20);
    expect(limit.freeSlots).to.equal(0);
  });
});
