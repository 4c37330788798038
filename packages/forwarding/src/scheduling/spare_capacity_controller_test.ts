import { expect } from "chai";
import { describe, it } from "mocha";
import { SpareCapacityController } from "./spare_capacity_controller.ts";

const STREAMS = 2_000;

/** Returns the mean factor while one stream in the given number is late. */
function measureFactor(streamsForEachLate: number): number {
  const controller = new SpareCapacityController();
  let sum = 0;
  for (let stream = 1; stream <= STREAMS; stream++) {
    controller.recordStream(stream % streamsForEachLate === 0);
    sum += controller.factor;
  }
  return sum / STREAMS;
}

describe("SpareCapacityController", () => {
  it("raises the factor while streams are on time and lowers it while they stall", () => {
    expect(measureFactor(STREAMS * 2)).to.be.greaterThan(1.2);
    expect(measureFactor(5)).to.be.lessThan(0.8);
  });

  it("keeps the factor within its limits", () => {
    const controller = new SpareCapacityController();
    for (let stream = 0; stream < STREAMS; stream++) {
      controller.recordStream(true);
    }
    expect(controller.factor).to.be.within(0.5, 1);
    for (let stream = 0; stream < STREAMS; stream++) {
      controller.recordStream(false);
    }
    expect(controller.factor).to.be.within(1, 2);
  });
});
