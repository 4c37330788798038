import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { EndpointLimit } from "./endpoint_limit.ts";
import { EndpointNews } from "./endpoint_news.ts";
import {
  createEnd,
  createFixture,
  createReport,
  INTERVAL,
  runRounds,
  startAll,
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
      const started = startAll(fixture.limit);
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
    const [attempt] = startAll(fixture.limit);
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

  it("does not double past the limit at which it fell over", async () => {
    const fixture = createFixture();
    await runRounds(fixture, { rounds: 3 });
    const outcome = AttemptOutcome.EndpointLost;
    for (const attempt of startAll(fixture.limit)) {
      fixture.limit.finishAttempt(attempt, createEnd({ outcome }));
    }
    const limits = await runRounds(fixture, { rounds: 5 });
    expect(Math.max(...limits)).to.be.below(16);
  });
});
