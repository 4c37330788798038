import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { RetryAllowance } from "./retry_allowance.ts";

const BOUND = { windowMilliseconds: 10_000, ratio: 0.2, extra: 52 };
const VMS = 6;

describe("RetryAllowance", () => {
  it("keeps the retries of all VMs within the limit while all attempts fail", async () => {
    const clock = new ManualClock();
    const vms = Array.from(
      { length: VMS },
      () => new RetryAllowance(clock, BOUND),
    );
    const retries: number[] = [];
    let requests = 0;
    for (let step = 0; step < 200; step++) {
      for (const vm of vms) {
        vm.recordRequest();
        requests++;
        if (vm.take(VMS)) {
          retries.push(clock.now());
        }
      }
      await clock.advance(100);
    }
    const inWindow = requests / 2;
    const maxRetries = Math.max(
      ...retries.map((start) =>
        retries.filter((time) => time >= start && time < start + 10_000).length
      ),
    );
    expect(maxRetries).to.be.at.most(BOUND.ratio * inWindow + BOUND.extra);
  });

  it("allows a retry before many requests were recorded", () => {
    const allowance = new RetryAllowance(new ManualClock(), BOUND);
    allowance.recordRequest();
    expect(allowance.take(VMS)).to.equal(true);
  });
});
