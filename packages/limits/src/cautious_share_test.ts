import { ManualClock, RandomSource } from "@rattanvane/base";
import { AttemptOutcome } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
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
  /** The mean of the running requests in the last part. */
  mean: number;
}

/** Two schedulers that know nothing of each other, over lagging reports. */
async function runSides(
  options: {
    coldLimit: number;
    seed: number;
    steps: number;
    demands: number[];
  },
): Promise<Run> {
  const random = new RandomSource(options.seed);
  const clock = new ManualClock();
  const sides = options.demands.map((_, index) =>
    createSide({ clock, coldLimit: options.coldLimit, self: `vm${index}` })
  );
  const past: number[] = [];
  let most = 0;
  let sum = 0;
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
      const demand = options.demands[index] as number;
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
    sum += step * 2 >= options.steps ? total : 0;
    past.push(total);
  }
  return { most, mean: sum / (options.steps / 2) };
}

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

  it("do not leave an endpoint idle that nobody else uses", async () => {
    for (const coldLimit of [1, 2, 8]) {
      const options = { coldLimit, seed: 3, steps: 1200, demands: [1] };
      const { mean } = await runSides(options);
      expect(mean / coldLimit).to.be.above(0.9);
    }
  });
});
