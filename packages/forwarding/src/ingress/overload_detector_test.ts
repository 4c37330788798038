import { createSilentLogger, ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { OverloadDetector } from "./overload_detector.ts";

const STEP_MILLISECONDS = 100;

function createFixture() {
  const clock = new ManualClock();
  let idleMilliseconds = 0;
  const detector = new OverloadDetector({
    clock,
    logger: createSilentLogger(),
    readIdleMilliseconds: () => idleMilliseconds,
  });
  /** Runs a process that is idle for a fraction of the time. */
  const run = async (milliseconds: number, idleFraction: number) => {
    for (let time = 0; time < milliseconds; time += STEP_MILLISECONDS) {
      await clock.advance(STEP_MILLISECONDS);
      idleMilliseconds += STEP_MILLISECONDS * idleFraction;
      detector.update();
    }
  };
  return { clock, detector, run };
}

/** Load: a process without an idle moment for two seconds, or for one moment. */
describe("OverloadDetector", () => {
  it("detects an overload that lasts, and its end", async () => {
    const { detector, run } = createFixture();
    await run(1_000, 0.5);
    await run(2_000, 0);
    expect(detector.isOverloaded).to.equal(true);
    await run(5_000, 0.2);
    expect(detector.isOverloaded).to.equal(false);
  });

  it("stays overloaded while the process has no idle moment", async () => {
    const { detector, run } = createFixture();
    await run(2_000, 0);
    for (let second = 0; second < 10; second++) {
      await run(1_000, 0);
      expect(detector.isOverloaded).to.equal(true);
    }
  });

  it("ignores heavy load with some idle time, and a suspension", async () => {
    const { clock, detector, run } = createFixture();
    await run(10_000, 0.1);
    expect(detector.isOverloaded).to.equal(false);
    await clock.advance(6_000);
    detector.update();
    await run(2_000, 0.1);
    expect(detector.isOverloaded).to.equal(false);
  });
});
