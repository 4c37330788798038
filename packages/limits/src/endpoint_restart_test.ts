import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { EndpointLimit } from "./endpoint_limit.ts";
import { EndpointEvent } from "./endpoint_limit_types.ts";
import {
  createEnd,
  createFixture,
  createReport,
  GROWTH_INTERVAL_MILLISECONDS,
  runRounds,
  startAfterProgress,
  startAll,
} from "./testing/endpoint_limit_fixture.ts";

interface RestartCase {
  title: string;
  restart: (limit: EndpointLimit, attempt: string) => EndpointEvent;
  expected: EndpointEvent;
}

const RESTARTS: RestartCase[] = [
  {
    title: "a new boot id in an answer",
    restart: (limit, attempt) =>
      limit.finishAttempt(attempt, createEnd({ bootId: "b2" })),
    expected: EndpointEvent.Restarted,
  },
  {
    title: "a new boot id in a report",
    restart: (limit) => limit.receiveReport(createReport({ bootId: "b2" })),
    expected: EndpointEvent.Restarted,
  },
  {
    title: "a decreased uptime in a report",
    restart: (limit) =>
      limit.receiveReport(createReport({ uptimeMilliseconds: 100 })),
    expected: EndpointEvent.Restarted,
  },
  {
    title: "a refused connection",
    restart: (limit, attempt) =>
      limit.finishAttempt(
        attempt,
        createEnd({ outcome: AttemptOutcome.NotSent, bootId: "" }),
      ),
    expected: EndpointEvent.Restarted,
  },
  {
    title: "a reset connection",
    restart: (limit, attempt) =>
      limit.finishAttempt(
        attempt,
        createEnd({ outcome: AttemptOutcome.EndpointLost, bootId: "" }),
      ),
    expected: EndpointEvent.None,
  },
];

describe("EndpointLimit restart", () => {
  for (const { title, restart, expected } of RESTARTS) {
    it(`resets to the cold limit at once on ${title}`, async () => {
      const fixture = createFixture();
      fixture.limit.receiveReport(createReport());
      await runRounds(fixture, { rounds: 3 });
      const started = await startAfterProgress(fixture);
      expect(restart(fixture.limit, started[0] as string)).to.equal(expected);
      expect(fixture.limit.limit).to.equal(2);
      expect(fixture.limit.freeSlots).to.equal(0);
    });
  }

  it("ignores a stale report of the previous boot", async () => {
    const fixture = createFixture();
    fixture.limit.receiveReport(createReport());
    fixture.limit.receiveReport(createReport({ bootId: "b2" }));
    await fixture.clock.advance(1000);
    const stale = createReport({ running: 16 });
    expect(fixture.limit.receiveReport(stale)).to.equal(EndpointEvent.None);
    expect(fixture.limit.limit).to.equal(2);
    expect(fixture.limit.bootId).to.equal("b2");
  });

  it("ignores figures from before a reset connection", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const [attempt] = await startAfterProgress(fixture);
    const outcome = AttemptOutcome.EndpointLost;
    fixture.limit.finishAttempt(attempt as string, createEnd({ outcome }));
    const lagging = createReport({ running: 16, ageMilliseconds: 300 });
    fixture.limit.receiveReport(lagging);
    expect(fixture.limit.limit).to.equal(2);
  });

  it("excludes time before the start from the growth interval", async () => {
    for (const uptimeMilliseconds of [500, 5000]) {
      const { clock, limit } = createFixture();
      await clock.advance(GROWTH_INTERVAL_MILLISECONDS);
      limit.receiveReport(createReport({ uptimeMilliseconds }));
      startAll(limit).forEach((attempt) =>
        limit.finishAttempt(attempt, createEnd())
      );
      expect(limit.limit).to.equal(
        uptimeMilliseconds < GROWTH_INTERVAL_MILLISECONDS ? 2 : 4,
      );
    }
  });

  it("stays within the cold limit after an idle time", async () => {
    const fixture = createFixture();
    const { clock, limit } = fixture;
    await runRounds(fixture, { rounds: 3 });
    for (const isReport of [false, true]) {
      expect(limit.limit).to.equal(16);
      await clock.advance(1);
      const started = startAll(limit);
      expect(started).to.have.lengthOf(2);
      await clock.advance(400);
      if (isReport) {
        limit.receiveReport(createReport({ running: 2 }));
      } else {
        limit.recordProgress("b1");
      }
      expect(limit.freeSlots).to.equal(14);
      started.forEach((attempt) => limit.finishAttempt(attempt, createEnd()));
    }
  });

  it("returns to the cold limit while the endpoint is unreachable", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    await fixture.clock.advance(1);
    startAll(fixture.limit);
    await fixture.clock.advance(1);
    fixture.limit.recordProgress("b1");
    expect(fixture.limit.freeSlots).to.equal(14);
    fixture.limit.markUnreachable();
    expect(fixture.limit.freeSlots).to.equal(0);
    fixture.limit.recordProgress("b1");
    expect(fixture.limit.freeSlots).to.equal(14);
  });

  it("does not take progress of an unknown boot as confirmation", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    await fixture.clock.advance(1);
    startAll(fixture.limit);
    await fixture.clock.advance(100);
    fixture.limit.recordProgress("");
    expect(fixture.limit.freeSlots).to.equal(0);
    const event = fixture.limit.recordProgress("b2");
    expect(event).to.equal(EndpointEvent.Restarted);
    expect(fixture.limit.limit).to.equal(2);
  });

  it("does not double past the limit at which the endpoint failed", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const outcome = AttemptOutcome.EndpointLost;
    for (const attempt of await startAfterProgress(fixture)) {
      fixture.limit.finishAttempt(attempt, createEnd({ outcome }));
    }
    const limits = await runRounds(fixture, { rounds: 5 });
    expect(Math.max(...limits)).to.be.below(16);
  });
});
