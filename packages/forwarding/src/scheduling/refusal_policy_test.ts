import { ManualClock, RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { RefusalPolicy } from "./refusal_policy.ts";

function createPolicy() {
  return new RefusalPolicy(new ManualClock(), new RandomSource(1));
}

describe("RefusalPolicy", () => {
  it("lets a request wait that is not late", () => {
    const isHopeless = createPolicy().isHopeless({
      waitedMilliseconds: 50,
      leftMilliseconds: 5_000,
      late: 0,
    });
    expect(isHopeless).to.equal(false);
  });

  it("lets as many late requests wait as are soon served", () => {
    const policy = createPolicy();
    const situation = { waitedMilliseconds: 50, leftMilliseconds: 5_000 };
    expect(policy.isHopeless({ ...situation, late: 10 })).to.equal(true);
    for (let grant = 0; grant < 40; grant++) {
      policy.recordGrant();
    }
    expect(policy.isHopeless({ ...situation, late: 10 })).to.equal(false);
  });

  it("holds no request for a large part of its time", () => {
    const isHopeless = createPolicy().isHopeless({
      waitedMilliseconds: 600,
      leftMilliseconds: 4_400,
      late: 1,
    });
    expect(isHopeless).to.equal(true);
  });

  it("spreads those that it sends away", () => {
    const policy = createPolicy();
    const times = new Set(
      Array.from({ length: 20 }, () => policy.computeRetryAfter(0)),
    );
    expect(times.size).to.be.greaterThan(10);
    for (const time of times) {
      expect(time).to.be.within(200, 3_000);
    }
  });
});
