import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import { SimulatedFleet } from "../testing/simulated_fleet.ts";

const SEED = 34;
const VMS = 52;
const ZONES = 2;
/** An eighth of the 26 VMs of a zone. */
const MAX_OUT = 3;
const SETTLING_MILLISECONDS = 4_000;

let fleet: SimulatedFleet | undefined;

function countLeaving(fleet: SimulatedFleet): number {
  return [...fleet.vms.values()].filter((vm) => vm.fleet.mayLeaveRotation)
    .length;
}

/** Load: more saturated VMs of a zone than may be out of rotation. */
describe("The schedulers of a zone", () => {
  afterEach(() => fleet?.stop());

  it(`let an eighth of its VMs leave the rotation (seed ${SEED})`, async () => {
    fleet = new SimulatedFleet({ seed: SEED, zones: ZONES });
    await fleet.startAll(VMS);
    await fleet.clock.advance(SETTLING_MILLISECONDS);
    const members = [...fleet.vms.values()].filter(({ contact, fleet }) =>
      contact.zone === "zone-0" && !fleet.isScheduler
    );
    for (const vm of members) {
      vm.isSaturated = true;
      vm.fleet.askToLeaveRotation();
    }
    await fleet.clock.advance(SETTLING_MILLISECONDS);
    for (let second = 0; second < 5; second++) {
      await fleet.clock.advance(1_000);
      expect(countLeaving(fleet)).to.be.within(1, MAX_OUT);
    }
    for (const vm of members) {
      vm.isSaturated = false;
    }
    await fleet.clock.advance(SETTLING_MILLISECONDS);
    expect(countLeaving(fleet)).to.equal(0);
  });
});
