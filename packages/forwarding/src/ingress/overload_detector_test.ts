import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OverloadDetector } from "./overload_detector.ts";

const SHORT = { turnMilliseconds: 5, waitedMilliseconds: 10 };
const LONG_TURN = { turnMilliseconds: 150, waitedMilliseconds: 10 };
const LONG_WAIT = { turnMilliseconds: 20, waitedMilliseconds: 400 };

function createDetector() {
  const clock = new ManualClock();
  const detector = new OverloadDetector({
    clock,
    logger: createSilentLogger(),
  });
  return { clock, detector };
}

/** Load: a VM whose turns are long for two seconds, or for one moment. */
describe("OverloadDetector", () => {
  for (const [name, sample] of Object.entries({ LONG_TURN, LONG_WAIT })) {
    it(`detects an overload that lasts (${name}) and its end`, async () => {
      const { clock, detector } = createDetector();
      for (let step = 0; step < 10; step++) {
        detector.recordTurn(sample);
        await clock.advance(200);
      }
      expect(detector.isOverloaded).to.equal(true);
      for (let step = 0; step < 10; step++) {
        detector.recordTurn(SHORT);
        await clock.advance(500);
      }
      expect(detector.isOverloaded).to.equal(false);
    });
  }

  it("ignores a suspension and single long turns", async () => {
    const { clock, detector } = createDetector();
    detector.recordTurn({ turnMilliseconds: 5_000, waitedMilliseconds: 4_000 });
    detector.recordTurn({ turnMilliseconds: 100, waitedMilliseconds: 4_000 });
    for (let step = 0; step < 20; step++) {
      await clock.advance(600);
      detector.recordTurn(LONG_TURN);
      expect(detector.isOverloaded).to.equal(false);
    }
  });
});
