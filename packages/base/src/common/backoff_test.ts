import { expect } from "chai";
import { describe, it } from "mocha";
import { computeBackoff } from "./backoff.ts";
import { RandomSource } from "./random.ts";

describe("computeBackoff", () => {
  it("stays below the exponentially increasing delay and the maximum", () => {
    const random = new RandomSource(7);
    for (let attempt = 0; attempt < 40; attempt++) {
      const delay = computeBackoff(attempt, {
        initialMilliseconds: 10,
        maximumMilliseconds: 500,
        random,
      });
      expect(delay).to.be.at.least(0);
      expect(delay).to.be.below(Math.min(10 * 2 ** attempt, 500) + 1);
    }
  });
});
