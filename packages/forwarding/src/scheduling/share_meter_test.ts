import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { computeShareLevel, ShareMeter, ShareStanding } from "./share_meter.ts";

describe("computeShareLevel", () => {
  it("is infinite when there is enough for all", () => {
    expect(computeShareLevel([10, 20], 30)).to.equal(Infinity);
  });

  it("leaves small askers whole and divides the rest evenly", () => {
    expect(computeShareLevel([10, 100, 200], 110)).to.equal(50);
  });

  it("gives out exactly the capacity when more is asked", () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 1_000 }), { minLength: 1 }),
        fc.integer({ min: 1, max: 1_000 }),
        (asked, capacity) => {
          const level = computeShareLevel(asked, capacity);
          const total = asked.reduce((sum, one) => sum + one, 0);
          const given = asked.reduce(
            (sum, one) => sum + Math.min(one, level),
            0,
          );
          expect(given).to.be.closeTo(Math.min(total, capacity), 1e-6);
        },
      ),
      { seed: 7 },
    );
  });
});

describe("ShareMeter", () => {
  it("tells who is over its share, with what peers have seen", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 4_000 });
    meter.updateCapacity(100);
    meter.recordAsked("large", 1_000);
    meter.recordGranted("large", 210);
    meter.recordAsked("small", 50);
    meter.mergePeer("vm-2", [
      { organisation: "large", asked: 500, granted: 200 },
    ]);
    await clock.advance(60);
    expect(meter.level).to.equal(350);
    expect(meter.judge("large")).to.equal(ShareStanding.Over);
    expect(meter.judge("small")).to.equal(ShareStanding.Low);
  });

  it("gives spare room first to who has had least of it", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 4_000 });
    meter.updateCapacity(100);
    meter.recordAsked("greedy", 5_000);
    meter.recordGranted("greedy", 600);
    meter.recordAsked("modest", 900);
    meter.recordGranted("modest", 210);
    await clock.advance(60);
    expect(meter.judge("greedy")).to.equal(ShareStanding.FarOver);
    expect(meter.judge("modest")).to.equal(ShareStanding.Over);
  });

  it("forgets what a silent peer said", async () => {
    const clock = new ManualClock();
    const meter = new ShareMeter({ clock, periodMilliseconds: 4_000 });
    meter.updateCapacity(100);
    meter.mergePeer("vm-2", [
      { organisation: "large", asked: 500, granted: 500 },
    ]);
    await clock.advance(1_100);
    expect(meter.judge("large")).to.equal(ShareStanding.Low);
  });
});
