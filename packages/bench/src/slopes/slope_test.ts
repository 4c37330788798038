/** Tests of the lines through measured costs. */

import { expect } from "chai";
import { computeLine, type SlopePoint } from "./slope.ts";
import { formatSlopes } from "./slope_table.ts";

function createPoints(compute: (size: number) => number): SlopePoint[] {
  return [10, 100, 1000].map((size) => ({ size, value: compute(size) }));
}

describe("bench slopes", () => {
  it("find the slope and the fixed part of a straight line", () => {
    const line = computeLine(createPoints((size) => 7 + 3 * size));
    expect(line.perUnit).to.be.closeTo(3, 1e-9);
    expect(line.fixed).to.be.closeTo(7, 1e-6);
    expect(line.largestDeviation).to.be.below(1e-9);
  });

  it("show that a square is not a line", () => {
    const line = computeLine(createPoints((size) => size * size));
    expect(line.largestDeviation).to.be.above(0.5);
  });

  it("are printed with their points", () => {
    const text = formatSlopes([{
      name: "a grant",
      sizeUnit: "message",
      unit: "bytes",
      points: createPoints((size) => 2 * size),
    }]);
    expect(text).to.match(/a grant +bytes +message +2 /);
    expect(text).to.contain("10:20 100:200 1000:2000");
  });
});
