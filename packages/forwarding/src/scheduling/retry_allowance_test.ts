import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { RetryAllowance } from "./retry_allowance.ts";

const BOUND = { windowMilliseconds: 10_000, ratio: 0.2, extra: 52 };
const VMS = 6;

describe("RetryAllowance", () => {
  it("keeps all VMs together within the bound while everything fails", async () => {
    const clock = new ManualClock();
    const vms = Array.from(
      { length: VMS },
      () => new RetryAllowance(clock, BOUND),
    );
    const repeats: number[] = [];
    let requests = 0;
    for (let step = 0; step < 200; step++) {
      for (const vm of vms) {
        vm.countRequest();
        requests++;
        if (vm.take(VMS)) {
          repeats.push(clock.now());
        }
      }
      await clock.advance(100);
    }
    const inWindow = requests / 2;
    const most = Math.max(
      ...repeats.map((start) =>
        repeats.filter((time) => time >= start && time < start + 10_000).length
      ),
    );
    expect(most).to.be.at.most(BOUND.ratio * inWindow + BOUND.extra);
  });

  it("lets a VM repeat before it has seen many requests", () => {
    const allowance = new RetryAllowance(new ManualClock(), BOUND);
    allowance.countRequest();
    expect(allowance.take(VMS)).to.equal(true);
  });
});
