import { ManualClock, RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { RefusalPolicy } from "./refusal_policy.ts";

function createPolicy() {
  return new RefusalPolicy(new ManualClock(), new RandomSource(1));
}

describe("RefusalPolicy", () => {
  it("lets a request wait that is not late", () => {
    const isRefused = createPolicy().isRefusalDue({
      waitedMilliseconds: 50,
      remainingMilliseconds: 5_000,
      lateRequests: 0,
    });
    expect(isRefused).to.equal(false);
  });

  it("lets late requests wait in proportion to the send rate", () => {
    const policy = createPolicy();
    const wait = { waitedMilliseconds: 50, remainingMilliseconds: 5_000 };
    expect(policy.isRefusalDue({ ...wait, lateRequests: 10 })).to.equal(
      true,
    );
    for (let grant = 0; grant < 40; grant++) {
      policy.recordGrant();
    }
    expect(policy.isRefusalDue({ ...wait, lateRequests: 10 })).to.equal(
      false,
    );
  });

  it("lets long prompts wait beside late requests in proportion to the send rate", () => {
    const policy = createPolicy();
    const wait = { waitedMilliseconds: 50, remainingMilliseconds: 15_000 };
    const isRefused = (lateRequests: number) =>
      policy.isLongPromptRefusalDue({ ...wait, lateRequests });
    expect(isRefused(4)).to.equal(false);
    expect(isRefused(5)).to.equal(true);
    for (let grant = 0; grant < 100; grant++) {
      policy.recordGrant();
    }
    expect(isRefused(20)).to.equal(false);
    expect(isRefused(60)).to.equal(true);
  });

  it("refuses a request that has waited a large part of its time", () => {
    const isRefused = createPolicy().isRefusalDue({
      waitedMilliseconds: 600,
      remainingMilliseconds: 4_400,
      lateRequests: 1,
    });
    expect(isRefused).to.equal(true);
  });

  it("spreads the retries of refused callers", () => {
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
