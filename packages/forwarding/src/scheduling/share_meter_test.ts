import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { computeShareLevel, ShareMeter, ShareUsage } from "./share_meter.ts";

describe("computeShareLevel", () => {
  it("is infinite if the capacity covers all demands", () => {
    expect(computeShareLevel([10, 20], 30)).to.equal(Infinity);
  });

  it("grants small demands in full and divides the rest evenly", () => {
    expect(computeShareLevel([10, 100, 200], 110)).to.equal(50);
  });

  it("uses exactly the capacity when demand exceeds it", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 1 }),
        fc.integer({ min: 1, max: 1_000 }),
        (asked, capacity) => {
          const level = computeShareLevel(asked, capacity);
          const total = asked.reduce((sum, one) => sum + one, 0);
          const usedCapacity = asked.reduce(
            (sum, one) => sum + Math.min(one, level),
            0,
          );
          expect(usedCapacity).to.be.closeTo(Math.min(total, capacity), 1e-6);
        },
      ),
      { seed: 7 },
    );
  });
});

describe("ShareMeter", () => {
  it("includes peers' reports in the use of each organisation", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 8_000 });
    meter.updateCapacity(100);
    meter.recordAsked("large", 1_000);
    meter.recordGranted("large", 210);
    meter.recordAsked("small", 50);
    meter.mergePeer("vm-2", [
      { organisation: "large", asked: 500, granted: 200 },
    ]);
    await clock.advance(60);
    expect(meter.level).to.equal(350);
    expect(meter.computeShareUsage("large")).to.equal(ShareUsage.Over);
    expect(meter.computeShareUsage("small")).to.equal(ShareUsage.Low);
  });

  it("distinguishes organisations far over their share", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 8_000 });
    meter.updateCapacity(100);
    meter.recordAsked("greedy", 5_000);
    meter.recordGranted("greedy", 600);
    meter.recordAsked("modest", 900);
    meter.recordGranted("modest", 210);
    await clock.advance(60);
    expect(meter.computeShareUsage("greedy")).to.equal(ShareUsage.FarOver);
    expect(meter.computeShareUsage("modest")).to.equal(ShareUsage.Over);
  });

  it("expires the report of a silent peer", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 8_000 });
    meter.updateCapacity(100);
    meter.mergePeer("vm-2", [
      { organisation: "large", asked: 500, granted: 500 },
    ]);
    await clock.advance(1_100);
    expect(meter.computeShareUsage("large")).to.equal(ShareUsage.Low);
  });

  it("spreads an organisation's share over the period without losing it", async () => {
    const PERIOD_MILLISECONDS = 4_000;
    const CAPACITY_PER_SECOND = 100;
    const clock = new ManualClock();
    const meter = new ShareMeter({
      clock,
      periodMilliseconds: PERIOD_MILLISECONDS,
    });
    meter.updateCapacity(CAPACITY_PER_SECOND);
    let grantedEarly = 0;
    let granted = 0;
    for (let time = 0; time < PERIOD_MILLISECONDS; time += 60) {
      meter.recordAsked("greedy", 100);
      await clock.advance(60);
      if (meter.computeShareUsage("greedy") < ShareUsage.Over) {
        meter.recordGranted("greedy", 10);
        granted += 10;
        grantedEarly += time < PERIOD_MILLISECONDS / 4 ? 10 : 0;
      }
    }
    const share = CAPACITY_PER_SECOND * PERIOD_MILLISECONDS / 1_000;
    expect(grantedEarly).to.be.at.most(share / 2);
    expect(granted).to.be.within(share * 0.8, share * 1.1);
  });
});
