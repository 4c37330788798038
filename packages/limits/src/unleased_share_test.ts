import { ManualClock, RandomSource } from "@rattanvane/base";
import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { EndpointLimit } from "./endpoint_limit.ts";
import { DEFAULT_ENDPOINT_LIMIT_SETTINGS } from "./settings.ts";
import { UnleasedShare } from "./unleased_share.ts";

const STEP_MILLISECONDS = 100;
const REPORT_LAG_STEPS = 10;

interface TestSchedulerOptions {
  clock: ManualClock;
  coldLimit: number;
  self: string;
}

interface TestScheduler {
  limit: EndpointLimit;
  running: { attempt: string; endsAt: number }[];
}

function createScheduler(
  { clock, coldLimit, self }: TestSchedulerOptions,
): TestScheduler {
  const limit = new EndpointLimit({
    endpoint: "e",
    coldLimit,
    ceiling: coldLimit,
    settings: DEFAULT_ENDPOINT_LIMIT_SETTINGS,
    clock,
    random: new RandomSource(1),
    self,
    leased: false,
  });
  return { limit, running: [] };
}

interface RunResult {
  /** Maximum number of running requests. */
  peak: number;
  /** Mean number of running requests in the last quarter of the steps. */
  mean: number;
  /** The same mean for each scheduler. */
  meansByScheduler: number[];
}

interface RunOptions {
  coldLimit: number;
  seed: number;
  steps: number;
  /** Probability for each scheduler that it has requests to start in a step. */
  demands: number[];
  /** First step in which schedulers other than the first have requests. */
  othersFromStep?: number;
}

/**
 * Simulates schedulers that do not know of each other and share an endpoint
 * whose load reports lag.
 */
async function runSchedulers(options: RunOptions): Promise<RunResult> {
  const random = new RandomSource(options.seed);
  const clock = new ManualClock();
  const schedulers = options.demands.map((_, index) =>
    createScheduler({ clock, coldLimit: options.coldLimit, self: `vm${index}` })
  );
  const totals: number[] = [];
  let peak = 0;
  const meansByScheduler = options.demands.map(() => 0);
  let nextAttempt = 0;
  for (let step = 0; step < options.steps; step++) {
    await clock.advance(STEP_MILLISECONDS);
    const now = clock.now();
    const reportedTotal = totals[step - REPORT_LAG_STEPS];
    for (
      const scheduler of reportedTotal !== undefined && step % 5 === 0
        ? schedulers
        : []
    ) {
      scheduler.limit.receiveReport({
        bootId: "b",
        uptimeMilliseconds: now,
        running: reportedTotal as number,
        waiting: 0,
        slots: options.coldLimit,
        ageMilliseconds: REPORT_LAG_STEPS * STEP_MILLISECONDS,
      });
    }
    schedulers.forEach((scheduler, index) => {
      for (const { attempt, endsAt } of scheduler.running) {
        if (endsAt <= now) {
          scheduler.limit.finishAttempt(attempt, {
            outcome: AttemptOutcome.Completed,
            firstByteMilliseconds: 20,
            bootId: "b",
          });
        }
      }
      scheduler.running = scheduler.running.filter(({ endsAt }) =>
        endsAt > now
      );
      const isLate = index > 0 && step < (options.othersFromStep ?? 0);
      const demand = isLate ? 0 : options.demands[index] as number;
      const isBusy = random.nextFraction() < demand;
      while (isBusy && scheduler.limit.freeSlots > 0) {
        const attempt = `a${nextAttempt++}`;
        scheduler.limit.startAttempt(attempt);
        const endsAt = now + random.nextInteger(200, 3000);
        scheduler.running.push({ attempt, endsAt });
      }
    });
    const total = schedulers.reduce(
      (sum, scheduler) => sum + scheduler.running.length,
      0,
    );
    peak = Math.max(peak, total);
    totals.push(total);
    if (step >= options.steps * 3 / 4) {
      schedulers.forEach(({ running }, index) => {
        meansByScheduler[index]! += running.length * 4 / options.steps;
      });
    }
  }
  const mean = meansByScheduler.reduce((sum, value) => sum + value, 0);
  return { peak, mean, meansByScheduler };
}

const GROWN_AT_MILLISECONDS = 5500;

describe("UnleasedShare", () => {
  /**
   * Creates a share of a limit of 8 that was fully used and has grown from 4 to
   * 6, as no report showed a foreign request.
   */
  function createGrownShare(): UnleasedShare {
    const share = new UnleasedShare(DEFAULT_ENDPOINT_LIMIT_SETTINGS, "vm");
    const limit = 8;
    for (let now = 0; now <= 5500; now += 500) {
      const sampledAt = now;
      share.recordReport({
        now,
        sampledAt,
        foreign: 0,
        isForeignExact: true,
        limit,
      });
      share.updateOwnAttempts(share.computeShare(limit, now), { limit, now });
    }
    const now = GROWN_AT_MILLISECONDS;
    expect(share.computeShare(limit, now)).to.equal(6);
    return share;
  }

  it("releases unused slots at once", () => {
    const share = createGrownShare();
    share.updateOwnAttempts(5, { limit: 8, now: GROWN_AT_MILLISECONDS });
    expect(share.computeShare(8, GROWN_AT_MILLISECONDS + 10)).to.equal(6);
    expect(share.computeShare(8, GROWN_AT_MILLISECONDS + 100)).to.equal(5);
  });

  it("is reset to half of the limit when the limit is raised", () => {
    expect(createGrownShare().computeShare(16, GROWN_AT_MILLISECONDS + 10)).to
      .equal(8);
  });

  it("is reset to half by a foreign request or without reports", () => {
    const share = createGrownShare();
    expect(share.computeShare(8, 60_000)).to.equal(4);
    const report = {
      now: GROWN_AT_MILLISECONDS,
      sampledAt: GROWN_AT_MILLISECONDS,
      isForeignExact: true,
      limit: 8,
    };
    const other = createGrownShare();
    other.recordReport({ ...report, foreign: 1 });
    expect(other.computeShare(8, GROWN_AT_MILLISECONDS + 10)).to.equal(4);
  });

  it("does not grow on reports with an uncertain foreign count", () => {
    for (const isForeignExact of [true, false]) {
      const share = createGrownShare();
      const limit = 8;
      let largestShare = 0;
      for (let now = GROWN_AT_MILLISECONDS; now < 20_000; now += 500) {
        const sampledAt = now;
        share.recordReport({
          now,
          sampledAt,
          foreign: 0,
          isForeignExact,
          limit,
        });
        largestShare = Math.max(largestShare, share.computeShare(limit, now));
      }
      expect(largestShare).to.equal(isForeignExact ? 7 : 6);
    }
  });

  it("counts foreign requests at their recent peak", async () => {
    const clock = new ManualClock();
    const { limit } = createScheduler({ clock, coldLimit: 8, self: "vm" });
    for (const running of [7, 3]) {
      await clock.advance(500);
      const uptimeMilliseconds = clock.now();
      const report = { bootId: "b", running, waiting: 0, slots: 8 };
      limit.receiveReport({
        ...report,
        uptimeMilliseconds,
        ageMilliseconds: 0,
      });
    }
    expect(limit.freeSlots).to.equal(1);
  });
});

describe("Schedulers without a lease", () => {
  for (const demands of [[1, 1], [1, 0.02], [0.3, 0.3], [0.02, 0.02]]) {
    it(`stay within the limit together at demands ${demands}`, async () => {
      for (const coldLimit of [2, 3, 8]) {
        for (let seed = 1; seed <= 4; seed++) {
          const options = { coldLimit, seed, steps: 400, demands };
          const { peak } = await runSchedulers(options);
          expect(peak, `seed ${seed}`).to.be.at.most(coldLimit);
        }
      }
    });
  }

  it("divide an endpoint, even if one of them started first", async () => {
    for (const coldLimit of [4, 16]) {
      const options = { coldLimit, seed: 3, steps: 1200, demands: [1, 1] };
      const { meansByScheduler } = await runSchedulers({
        ...options,
        othersFromStep: 600,
      });
      expect(meansByScheduler[1]! / meansByScheduler[0]!).to.be.within(
        0.6,
        1.6,
      );
    }
  });

  it("do not leave an endpoint idle that no other scheduler uses", async () => {
    for (const coldLimit of [1, 2, 8]) {
      const options = { coldLimit, seed: 3, steps: 1200, demands: [1] };
      const { mean } = await runSchedulers(options);
      // The last of several slots stays free for a second scheduler.
      const usable = Math.max(1, coldLimit - 1);
      expect(mean / usable).to.be.above(0.9);
    }
  });
});
