import type { VmId } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import {
  SimulatedFleet,
  type SimulatedVm,
} from "../testing/simulated_fleet.ts";

const VMS = 195;
const ZONES = 5;
const ZONE_VMS = VMS / ZONES;

async function startFleet(seed: number): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({ seed, zones: ZONES });
  await fleet.startAll(VMS);
  await fleet.clock.advance(4_000);
  return fleet;
}

function listVms(fleet: SimulatedFleet): SimulatedVm[] {
  return [...fleet.vms.values()];
}

function listZone(fleet: SimulatedFleet, zone: string): SimulatedVm[] {
  return listVms(fleet).filter(({ contact }) => contact.zone === zone);
}

function listNames(vms: readonly SimulatedVm[]): VmId[] {
  return vms.map(({ contact }) => contact.vm);
}

describe("membership of 195 VMs", () => {
  it("all know their zone within 2 s and the fleet within 5 s of a start with stale seeds (seed 1)", async () => {
    const fleet = new SimulatedFleet({ seed: 1, zones: ZONES });
    const seeds = [900, 901, 7].map((index) => fleet.buildContact(index));
    await fleet.startAll(VMS, seeds);
    await fleet.clock.advance(2_000);
    for (const vm of listVms(fleet)) {
      expect(vm.fleet.listZoneVms()).to.have.lengthOf(ZONE_VMS);
    }
    await fleet.clock.advance(3_000);
    for (const vm of listVms(fleet)) {
      expect(vm.fleet.countVms()).to.equal(VMS);
    }
    fleet.stop();
  });

  it("half of them killed are gone from all zones within 3 s (seed 2)", async () => {
    const fleet = await startFleet(2);
    listVms(fleet).forEach((vm, index) => {
      if (index % 2 === 1) {
        fleet.kill(vm);
      }
    });
    await fleet.clock.advance(3_000);
    for (const vm of listVms(fleet)) {
      const { zone } = vm.contact;
      expect(vm.fleet.listZoneVms()).to.have.members(
        listNames(listZone(fleet, zone)),
      );
    }
    fleet.stop();
  });

  it("a VM whose messages are lost is removed and takes nobody with it (seed 3)", async () => {
    const fleet = await startFleet(3);
    const zone = listZone(fleet, "zone-0");
    const mute = zone[5] as SimulatedVm;
    const names = listNames(listVms(fleet));
    fleet.network.dropMessages([mute.contact.vm], names);
    await fleet.clock.advance(4_000);
    const sound = zone.filter((vm) => vm !== mute);
    for (const vm of sound) {
      expect(vm.fleet.listZoneVms()).to.have.members(listNames(sound));
    }
    fleet.stop();
  });

  it("a VM that hears nothing is removed and takes nobody with it (seed 4)", async () => {
    const fleet = await startFleet(4);
    const zone = listZone(fleet, "zone-0");
    const deaf = zone[5] as SimulatedVm;
    const names = listNames(listVms(fleet));
    fleet.network.dropMessages(names, [deaf.contact.vm]);
    await fleet.clock.advance(4_000);
    const sound = zone.filter((vm) => vm !== deaf);
    for (const vm of sound) {
      expect(vm.fleet.listZoneVms()).to.have.members(listNames(sound));
    }
    fleet.stop();
  });

  it("messages lost one way between two VMs remove neither (seed 5)", async () => {
    const fleet = await startFleet(5);
    const zone = listZone(fleet, "zone-0");
    const [first, second] = zone as [SimulatedVm, SimulatedVm];
    fleet.network.dropMessages([first.contact.vm], [second.contact.vm]);
    await fleet.clock.advance(5_000);
    for (const vm of zone) {
      expect(vm.fleet.listZoneVms()).to.have.members(listNames(zone));
    }
    fleet.stop();
  });
});
