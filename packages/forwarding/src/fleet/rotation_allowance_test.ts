import { ManualClock } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { LEASE_MILLISECONDS, RotationAllowance } from "./rotation_allowance.ts";

function createFixture(zoneVms: number) {
  const clock = new ManualClock();
  const allowance = new RotationAllowance({
    clock,
    countZoneVms: () => zoneVms,
    listHigherRanked: () => ["scheduler-1"],
  });
  return { clock, allowance };
}

describe("RotationAllowance", () => {
  it("lets an eighth of the zone's VMs leave, and those renew", () => {
    const { allowance } = createFixture(17);
    expect(allowance.renew("a")).to.equal(true);
    expect(allowance.renew("b")).to.equal(true);
    expect(allowance.renew("c")).to.equal(false);
    expect(allowance.renew("a")).to.equal(true);
    expect(allowance.leases).to.equal(2);
  });

  it("lets no VM of a zone with seven VMs leave", () => {
    const { allowance } = createFixture(7);
    expect(allowance.renew("a")).to.equal(false);
  });

  it("counts the leases of the zone's other schedulers", () => {
    const { allowance } = createFixture(17);
    allowance.mergePeer("scheduler-2", 2);
    expect(allowance.renew("a")).to.equal(false);
    allowance.mergePeer("scheduler-2", 1);
    expect(allowance.renew("a")).to.equal(true);
  });

  it("renews no lease that a scheduler of a higher rank granted as well", () => {
    const { allowance } = createFixture(17);
    allowance.renew("a");
    allowance.renew("b");
    allowance.mergePeer("scheduler-3", 2);
    expect(allowance.renew("a")).to.equal(true);
    allowance.mergePeer("scheduler-1", 1);
    expect(allowance.renew("a")).to.equal(true);
    expect(allowance.renew("b")).to.equal(false);
  });

  it("forgets the leases of a scheduler that sends nothing", async () => {
    const { clock, allowance } = createFixture(8);
    allowance.mergePeer("scheduler-2", 1);
    await clock.advance(LEASE_MILLISECONDS + 1);
    expect(allowance.renew("a")).to.equal(true);
  });

  it("ends the lease of a VM that asks no more", async () => {
    const { clock, allowance } = createFixture(8);
    allowance.renew("a");
    expect(allowance.renew("b")).to.equal(false);
    await clock.advance(LEASE_MILLISECONDS);
    expect(allowance.renew("b")).to.equal(true);
    allowance.remove("b");
    expect(allowance.leases).to.equal(0);
  });
});
