import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { EndpointLimit } from "./endpoint_limit.ts";
import { EndpointNews } from "./endpoint_limit_types.ts";
import {
  createEnd,
  createFixture,
  createReport,
  INTERVAL,
  runRounds,
  startAll,
  startWarm,
} from "./testing/endpoint_limit_fixture.ts";

interface RestartCase {
  title: string;
  restart: (limit: EndpointLimit, attempt: string) => EndpointNews;
  news: EndpointNews;
}

const RESTARTS: RestartCase[] = [
  {
    title: "a new boot id in an answer",
    restart: (limit, attempt) =>
      limit.finishAttempt(attempt, createEnd({ bootId: "b2" })),
    news: EndpointNews.Restarted,
  },
  {
    title: "a new boot id in a report",
    restart: (limit) => limit.receiveReport(createReport({ bootId: "b2" })),
    news: EndpointNews.Restarted,
  },
  {
    title: "an uptime that went back",
    restart: (limit) =>
      limit.receiveReport(createReport({ uptimeMilliseconds: 100 })),
    news: EndpointNews.Restarted,
  },
  {
    title: "a refused connection",
    restart: (limit, attempt) =>
      limit.finishAttempt(
        attempt,
        createEnd({ outcome: AttemptOutcome.NotSent, bootId: "" }),
      ),
    news: EndpointNews.Restarted,
  },
  {
    title: "a reset connection",
    restart: (limit, attempt) =>
      limit.finishAttempt(
        attempt,
        createEnd({ outcome: AttemptOutcome.EndpointLost, bootId: "" }),
      ),
    news: EndpointNews.Nothing,
  },
];

describe("EndpointLimit restart", () => {
  for (const { title, restart, news } of RESTARTS) {
    it(`goes back to cold at once on ${title}`, async () => {
      const fixture = createFixture();
      fixture.limit.receiveReport(createReport());
      await runRounds(fixture, { rounds: 3 });
      const started = await startWarm(fixture);
      expect(restart(fixture.limit, started[0] as string)).to.equal(news);
      expect(fixture.limit.limit).to.equal(2);
      expect(fixture.limit.freeSlots).to.equal(0);
    });
  }

  it("is not fooled by late news of the former boot", async () => {
    const fixture = createFixture();
    fixture.limit.receiveReport(createReport());
    fixture.limit.receiveReport(createReport({ bootId: "b2" }));
    await fixture.clock.advance(1000);
    const late = createReport({ running: 16 });
    expect(fixture.limit.receiveReport(late)).to.equal(EndpointNews.Nothing);
    expect(fixture.limit.limit).to.equal(2);
    expect(fixture.limit.bootId).to.equal("b2");
  });

  it("takes no figures from before a reset connection", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const [attempt] = await startWarm(fixture);
    const outcome = AttemptOutcome.EndpointLost;
    fixture.limit.finishAttempt(attempt as string, createEnd({ outcome }));
    const lagging = createReport({ running: 16, ageMilliseconds: 300 });
    fixture.limit.receiveReport(lagging);
    expect(fixture.limit.limit).to.equal(2);
  });

  it("counts no time before the start as evidence", async () => {
    for (const uptimeMilliseconds of [500, 5000]) {
      const { clock, limit } = createFixture();
      await clock.advance(INTERVAL);
      limit.receiveReport(createReport({ uptimeMilliseconds }));
      startAll(limit).forEach((attempt) =>
        limit.finishAttempt(attempt, createEnd())
      );
      expect(limit.limit).to.equal(uptimeMilliseconds < INTERVAL ? 2 : 4);
    }
  });

  it("begins within the cold limit after an idle time", async () => {
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

  it("goes back within the cold limit while it does not answer", async () => {
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

  it("takes no sign of life of another boot for a proof", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    await fixture.clock.advance(1);
    startAll(fixture.limit);
    await fixture.clock.advance(100);
    fixture.limit.recordProgress("");
    expect(fixture.limit.freeSlots).to.equal(0);
    const news = fixture.limit.recordProgress("b2");
    expect(news).to.equal(EndpointNews.Restarted);
    expect(fixture.limit.limit).to.equal(2);
  });

  it("does not double past the limit at which it fell over", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const outcome = AttemptOutcome.EndpointLost;
    for (const attempt of await startWarm(fixture)) {
      fixture.limit.finishAttempt(attempt, createEnd({ outcome }));
    }
    const limits = await runRounds(fixture, { rounds: 5 });
    expect(Math.max(...limits)).to.be.below(16);
  });
});
