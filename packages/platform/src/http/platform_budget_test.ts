import { ManualClock, RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  computeVmRates,
  DEFAULT_FLEET_RATES,
  PlatformBudget,
} from "./platform_budget.ts";
import type { TokenBucket } from "./token_bucket.ts";

const VMS = 420;
const CALLS_EACH = 40;
const PLATFORM_READS_PER_SECOND = 2_000;
const PLATFORM_WRITES_PER_SECOND = 750;

/** Lets every VM call as fast as it may; returns the times of the calls. */
function collectCallTimes(
  clock: ManualClock,
  pickBucket: (budget: PlatformBudget) => TokenBucket,
  idleMilliseconds: number,
): Promise<number[]> {
  const rates = computeVmRates(DEFAULT_FLEET_RATES, VMS);
  const budgets = Array.from(
    { length: VMS },
    (_, vm) =>
      new PlatformBudget(rates, { clock, random: new RandomSource(vm) }),
  );
  return clock.advance(idleMilliseconds).then(() => {
    const times: number[] = [];
    for (const budget of budgets) {
      for (let call = 0; call < CALLS_EACH; call++) {
        times.push(pickBucket(budget).reserve(Infinity) as number);
      }
    }
    return times.sort((first, second) => first - second);
  });
}

function countBusiestSecond(times: readonly number[]): number {
  let busiest = 0;
  let start = 0;
  times.forEach((time, index) => {
    while (time - (times[start] as number) >= 1_000) {
      start++;
    }
    busiest = Math.max(busiest, index - start + 1);
  });
  return busiest;
}

describe("PlatformBudget", () => {
  const cases = [
    ["reads", "restart", 0, PLATFORM_READS_PER_SECOND],
    ["reads", "call after an idle time", 60_000, PLATFORM_READS_PER_SECOND],
    ["writes", "restart", 0, 400],
    [
      "writes",
      "call after an idle time",
      60_000,
      PLATFORM_WRITES_PER_SECOND,
    ],
  ] as const;
  for (const [kind, event, idleMilliseconds, limit] of cases) {
    it(`keeps the ${kind} of ${VMS} VMs that ${event} together below ${limit} a second`, async () => {
      const times = await collectCallTimes(
        new ManualClock(),
        (budget) => budget[kind],
        idleMilliseconds,
      );
      expect(countBusiestSecond(times)).to.be.at.most(limit);
    });
  }

  it("hands out the new rate after a change", () => {
    const clock = new ManualClock();
    const rates = { readsPerSecond: 1, writesPerSecond: 1 };
    const budget = new PlatformBudget(rates, {
      clock,
      random: new RandomSource(1),
    });
    budget.reads.reserve(Infinity);
    const slow = budget.reads.reserve(Infinity) as number;
    budget.updateRates({ readsPerSecond: 100, writesPerSecond: 1 });
    const fast = budget.reads.reserve(Infinity) as number;
    expect(fast).to.be.below(slow / 10);
  });
});
