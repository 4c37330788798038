import { expect } from "chai";
import { afterEach, describe, it } from "mocha";
import {
  MemoryFleet,
  type MemoryFleetOptions,
} from "./testing/memory_fleet.ts";
import {
  createMemoryPlatform,
  type MemoryPlatform,
  writeUpTo,
  writeWeight,
} from "./testing/memory_platform.ts";

const PROPAGATION_MILLISECONDS = 4_000;
const HOUR_MILLISECONDS = 3_600_000;
/** 3,700 changes a day. */
const CHANGES_PER_HOUR = 154;

let fleets: MemoryFleet[] = [];

function createFleet(options: MemoryFleetOptions): MemoryFleet {
  const fleet = new MemoryFleet(options);
  fleets.push(fleet);
  return fleet;
}

/** Creates three VMs at version 3, of which the first watches the log. */
async function createSmallFleet(): Promise<
  { platform: MemoryPlatform; fleet: MemoryFleet }
> {
  const platform = createMemoryPlatform();
  await writeUpTo(platform, 3);
  const vms = ["vm-1", "vm-2", "vm-3"];
  const fleet = createFleet({ platform, vms, watchers: ["vm-1"] });
  await fleet.advance(PROPAGATION_MILLISECONDS);
  expect(fleet.listVersions()).to.deep.equal([3]);
  return { platform, fleet };
}

function checkMonotonic(fleet: MemoryFleet): void {
  for (const { versions } of fleet.vms.values()) {
    const sorted = [...new Set(versions)].sort((a, b) => a - b);
    expect(versions).to.deep.equal(sorted);
  }
}

/** 5 zones of 84 VMs, with 2 watchers and 3 cross-zone contacts per zone. */
function createFullSize(platform: MemoryPlatform): MemoryFleetOptions {
  const zones = ["a", "b", "c", "d", "e"];
  const members = new Map(
    zones.map((zone) => [
      zone,
      Array.from({ length: 84 }, (_, index) => `${zone}-${index}`),
    ]),
  );
  const all = [...members.values()];
  const contacts = all.flatMap((vms) => vms.slice(0, 3));
  return {
    platform,
    vms: all.flat(),
    watchers: all.flatMap((vms) => vms.slice(0, 2)),
    listPeers: (vm) => [...members.get(vm[0] as string) ?? [], ...contacts],
  };
}

describe("distribution of the configuration", () => {
  afterEach(() => {
    fleets.forEach((fleet) => fleet.stop());
    fleets = [];
  });

  it("applies a change on 420 VMs within 4 s of acceptance", async () => {
    const platform = createMemoryPlatform();
    await writeUpTo(platform, 1);
    const fleet = createFleet(createFullSize(platform));
    await fleet.advance(2 * PROPAGATION_MILLISECONDS);
    for (let weight = 2; weight <= 4; weight++) {
      const version = await writeWeight(platform, weight);
      await fleet.advance(PROPAGATION_MILLISECONDS);
      expect(fleet.listVersions()).to.deep.equal([version]);
    }
    checkMonotonic(fleet);
  });

  it("leaves reading the platform to the watchers", async () => {
    const { platform, fleet } = await createSmallFleet();
    platform.faults.reads = 0;
    await fleet.advance(10 * PROPAGATION_MILLISECONDS);
    expect(platform.faults.reads).to.be.within(30, 60);
  });

  it("applies a change within 4 s on a slow platform", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    platform.faults.delayMilliseconds = 1_000;
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("reaches peers by announcements alone", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    await platform.clock.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("turns to another holder when the first does not answer", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    fleet.silent.add("vm-1");
    fleet.cut.add("vm-2");
    await fleet.advance(PROPAGATION_MILLISECONDS);
    const holder = fleet.vms.get("vm-2")!;
    holder.store.receive(fleet.vms.get("vm-1")!.store.listChangesAfter(3)!);
    expect(holder.store.current.version).to.equal(version);
    const client = fleet.start("vm-3");
    platform.faults.outage = true;
    fleet.cut.delete("vm-2");
    client.peer.receiveVersion("vm-1", version);
    await platform.clock.advance(100);
    client.peer.receiveVersion("vm-2", version);
    await platform.clock.advance(2_000);
    expect(client.store.current.version).to.equal(version);
  });

  it("recovers without intervention after a long outage", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    platform.faults.outage = true;
    await fleet.advance(HOUR_MILLISECONDS / 10);
    expect(fleet.listVersions()).to.deep.equal([3]);
    platform.faults.outage = false;
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("brings a VM up to date that was cut off for an hour", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.cut.add("vm-3");
    await writeUpTo(platform, 3 + CHANGES_PER_HOUR);
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([3, 3 + CHANGES_PER_HOUR]);
    fleet.cut.delete("vm-3");
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([3 + CHANGES_PER_HOUR]);
    checkMonotonic(fleet);
  });

  it("never reverts to the older version of a lagging peer", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.cut.add("vm-3");
    const version = await writeWeight(platform, 7);
    await fleet.advance(PROPAGATION_MILLISECONDS);
    const vm = fleet.vms.get("vm-2")!;
    const lagging = fleet.vms.get("vm-3")!;
    vm.peer.receiveVersion("vm-3", lagging.store.current.version);
    expect(vm.store.receiveSnapshot(lagging.store.current)).to.equal(false);
    expect(vm.store.current.version).to.equal(version);
  });

  it("reads the log when the peers deliver no changes", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.vms.get("vm-1")!.stop();
    fleet.cut.add("vm-1");
    const version = await writeWeight(platform, 7);
    fleet.vms.get("vm-2")!.store.receiveVersion(version);
    await fleet.advance(5 * PROPAGATION_MILLISECONDS);
    expect(fleet.vms.get("vm-3")!.store.current.version).to.equal(version);
  });

  it("restarts a whole fleet when no peer has a configuration", async () => {
    const { fleet } = await createSmallFleet();
    [...fleet.vms.keys()].forEach((vm) => fleet.start(vm));
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([3]);
    expect([...fleet.vms.values()].every((vm) => vm.hasJoined)).to.equal(true);
  });
});

describe("restart of an empty VM", () => {
  afterEach(() => {
    fleets.forEach((fleet) => fleet.stop());
    fleets = [];
  });

  it("takes the highest version of its peers during an outage", async () => {
    const { platform, fleet } = await createSmallFleet();
    // vm-2 stays at an older version than vm-1 and vm-3.
    fleet.cut.add("vm-2");
    const version = await writeWeight(platform, 7);
    await fleet.advance(PROPAGATION_MILLISECONDS);
    platform.faults.outage = true;
    fleet.vms.get("vm-2")!.stop();
    fleet.cut.delete("vm-2");
    const restarted = fleet.start("vm-3");
    restarted.peer.receiveVersion("vm-2", 3);
    await platform.clock.advance(100);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(false);
    restarted.peer.receiveVersion("vm-1", version);
    await platform.clock.advance(PROPAGATION_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(version);
    expect(restarted.hasJoined).to.equal(true);
  });

  it("does not serve while no peer with a configuration is reachable", async () => {
    const { platform, fleet } = await createSmallFleet();
    platform.faults.outage = true;
    fleet.cut.add("vm-3");
    const restarted = fleet.start("vm-3");
    await fleet.advance(HOUR_MILLISECONDS / 60);
    expect(restarted.hasJoined).to.equal(false);
    fleet.cut.delete("vm-3");
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(true);
  });

  it("does not serve while the platform has no configuration", async () => {
    const platform = createMemoryPlatform();
    const fleet = createFleet({ platform, vms: ["vm-1"], watchers: ["vm-1"] });
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.vms.get("vm-1")!.hasJoined).to.equal(false);
    await writeUpTo(platform, 1);
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(fleet.vms.get("vm-1")!.hasJoined).to.equal(true);
  });

  it("waits for the version in the platform's head row", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    const restarted = fleet.start("vm-3");
    restarted.peer.receiveVersion("vm-2", 3);
    await platform.clock.advance(100);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(false);
    await fleet.advance(PROPAGATION_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(version);
    expect(restarted.hasJoined).to.equal(true);
  });
});
