import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  createEnd,
  createFixture,
  createReport,
  GROWTH_INTERVAL_MILLISECONDS,
  runRounds,
  startAfterProgress,
  startAll,
} from "./testing/endpoint_limit_fixture.ts";

describe("EndpointLimit growth", () => {
  it("doubles from the cold limit up to the ceiling", async () => {
    const fixture = createFixture();
    expect(fixture.limit.freeSlots).to.equal(2);
    const limits = await runRounds(fixture, { rounds: 5 });
    expect(limits).to.deep.equal([4, 8, 16, 32, 32]);
  });

  it("does not grow on completions within the growth interval", () => {
    const { limit } = createFixture();
    for (let round = 0; round < 50; round++) {
      for (const attempt of startAll(limit)) {
        limit.finishAttempt(attempt, createEnd());
      }
    }
    expect(limit.limit).to.equal(2);
  });

  it("does not grow while the limit is hardly used", async () => {
    const { clock, limit } = createFixture({ coldLimit: 8 });
    for (let round = 0; round < 50; round++) {
      limit.startAttempt(`single${round}`);
      await clock.advance(GROWTH_INTERVAL_MILLISECONDS);
      limit.finishAttempt(`single${round}`, createEnd());
    }
    expect(limit.limit).to.equal(8);
  });

  it("grows on reports without waiting requests before any answer", async () => {
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

  it("is reduced on a refusal, then grows by one per round", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const [attempt] = await startAfterProgress(fixture);
    const outcome = AttemptOutcome.EndpointRefused;
    fixture.limit.finishAttempt(attempt as string, createEnd({ outcome }));
    expect(fixture.limit.limit).to.equal(12);
    for (let count = 0; count < 12; count++) {
      await fixture.clock.advance(GROWTH_INTERVAL_MILLISECONDS / 6);
      const nextAttempt = `again${count}`;
      fixture.limit.startAttempt(nextAttempt);
      fixture.limit.finishAttempt(nextAttempt, createEnd());
    }
    expect(fixture.limit.limit).to.equal(13);
  });

  it("is reduced on a slow time to first byte", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const end = { firstByteMilliseconds: 9000 };
    await runRounds(fixture, { rounds: 1, end });
    expect(fixture.limit.limit).to.equal(12);
  });

  it("is reduced when the endpoint queues requests", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    fixture.limit.receiveReport(createReport({ running: 10, waiting: 6 }));
    expect(fixture.limit.limit).to.equal(12);
  });

  it("starts from the number of running requests after a takeover", () => {
    const { limit } = createFixture();
    limit.receiveReport(createReport({ running: 20 }));
    expect(limit.limit).to.equal(20);
    expect(limit.freeSlots).to.equal(0);
  });
});
