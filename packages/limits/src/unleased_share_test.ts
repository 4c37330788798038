import { ManualClock, RandomSource } from "@rattanvane/base";
import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { CautiousShare } from "./unleased_share.ts";
import { EndpointLimit } from "./endpoint_limit.ts";
import { DEFAULT_ENDPOINT_LIMIT_SETTINGS } from "./settings.ts";

const STEP_MILLISECONDS = 100;
const REPORT_LAG_STEPS = 10;

interface SideOptions {
  clock: ManualClock;
  coldLimit: number;
  self: string;
}

interface Side {
  limit: EndpointLimit;
  running: { attempt: string; endsAt: number }[];
}

function createSide({ clock, coldLimit, self }: SideOptions): Side {
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

interface Run {
  most: number;
  /** The mean of the running requests in the last quarter. */
  mean: number;
  /** The same for each side. */
  means: number[];
}

interface RunOptions {
  coldLimit: number;
  seed: number;
  steps: number;
  /** How likely each side has work to start, in each step. */
  demands: number[];
  /** The step from which all but the first have work. */
  secondFrom?: number;
}

/** Two schedulers that know nothing of each other, over lagging reports. */
async function runSides(options: RunOptions): Promise<Run> {
  const random = new RandomSource(options.seed);
  const clock = new ManualClock();
  const sides = options.demands.map((_, index) =>
    createSide({ clock, coldLimit: options.coldLimit, self: `vm${index}` })
  );
  const past: number[] = [];
  let most = 0;
  const means = options.demands.map(() => 0);
  let next = 0;
  for (let step = 0; step < options.steps; step++) {
    await clock.advance(STEP_MILLISECONDS);
    const now = clock.now();
    const seen = past[step - REPORT_LAG_STEPS];
    for (const side of seen !== undefined && step % 5 === 0 ? sides : []) {
      side.limit.receiveReport({
        bootId: "b",
        uptimeMilliseconds: now,
        running: seen as number,
        waiting: 0,
        slots: options.coldLimit,
        ageMilliseconds: REPORT_LAG_STEPS * STEP_MILLISECONDS,
      });
    }
    sides.forEach((side, index) => {
      for (const { attempt, endsAt } of side.running) {
        if (endsAt <= now) {
          side.limit.finishAttempt(attempt, {
            outcome: AttemptOutcome.Completed,
            firstByteMilliseconds: 20,
            bootId: "b",
          });
        }
      }
      side.running = side.running.filter(({ endsAt }) => endsAt > now);
      const isLate = index > 0 && step < (options.secondFrom ?? 0);
      const demand = isLate ? 0 : options.demands[index] as number;
      const isBusy = random.nextFraction() < demand;
      while (isBusy && side.limit.freeSlots > 0) {
        const attempt = `a${next++}`;
        side.limit.startAttempt(attempt);
        const endsAt = now + random.nextInteger(200, 3000);
        side.running.push({ attempt, endsAt });
      }
    });
    const total = sides.reduce((all, side) => all + side.running.length, 0);
    most = Math.max(most, total);
    past.push(total);
    if (step >= options.steps * 3 / 4) {
      sides.forEach(({ running }, index) => {
        means[index]! += running.length * 4 / options.steps;
      });
    }
  }
  const mean = means.reduce((all, one) => all + one, 0);
  return { most, mean, means };
}

const GROWN_AT = 5500;

describe("CautiousShare", () => {
  /** A share that has grown from 4 to 6 of 8 by clean reports in full use. */
  function createGrown(): CautiousShare {
    const share = new CautiousShare(DEFAULT_ENDPOINT_LIMIT_SETTINGS, "vm");
    const limit = 8;
    for (let now = 0; now <= 5500; now += 500) {
      const sampledAt = now;
      share.recordReport({ now, sampledAt, foreign: 0, isSure: true, limit });
      share.updateOwn(share.computeShare(limit, now), { limit, now });
    }
    const now = GROWN_AT;
    expect(share.computeShare(limit, now)).to.equal(6);
    return share;
  }

  it("loses at once what it does not use", () => {
    const share = createGrown();
    share.updateOwn(5, { limit: 8, now: GROWN_AT });
    expect(share.computeShare(8, GROWN_AT + 10)).to.equal(6);
    expect(share.computeShare(8, GROWN_AT + 100)).to.equal(5);
  });

  it("goes back to the half when the limit is raised", () => {
    expect(createGrown().computeShare(16, GROWN_AT + 10)).to.equal(8);
  });

  it("goes back to the half for a foreign request or without reports", () => {
    const share = createGrown();
    expect(share.computeShare(8, 60_000)).to.equal(4);
    const report = {
      now: GROWN_AT,
      sampledAt: GROWN_AT,
      isSure: true,
      limit: 8,
    };
    const other = createGrown();
    other.recordReport({ ...report, foreign: 1 });
    expect(other.computeShare(8, GROWN_AT + 10)).to.equal(4);
  });

  it("grows by no report that leaves a doubt", () => {
    for (const isSure of [true, false]) {
      const share = createGrown();
      const limit = 8;
      let widest = 0;
      for (let now = GROWN_AT; now < 20_000; now += 500) {
        const sampledAt = now;
        share.recordReport({ now, sampledAt, foreign: 0, isSure, limit });
        widest = Math.max(widest, share.computeShare(limit, now));
      }
      expect(widest).to.equal(isSure ? 7 : 6);
    }
  });

  it("takes the other side at its peak", async () => {
    const clock = new ManualClock();
    const { limit } = createSide({ clock, coldLimit: 8, self: "vm" });
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
          const { most } = await runSides(options);
          expect(most, `seed ${seed}`).to.be.at.most(coldLimit);
        }
      }
    });
  }

  it("divide an endpoint, also when one of them came first", async () => {
    for (const coldLimit of [4, 16]) {
      const options = { coldLimit, seed: 3, steps: 1200, demands: [1, 1] };
      const { means } = await runSides({ ...options, secondFrom: 600 });
      expect(means[1]! / means[0]!).to.be.within(0.6, 1.6);
    }
  });

  it("do not leave an endpoint idle that nobody else uses", async () => {
    for (const coldLimit of [1, 2, 8]) {
      const options = { coldLimit, seed: 3, steps: 1200, demands: [1] };
      const { mean } = await runSides(options);
      // The last slot of several is left to a scheduler that may come.
      const usable = Math.max(1, coldLimit - 1);
      expect(mean / usable).to.be.above(0.9);
    }
  });
});
