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

const IN_FORCE_MILLISECONDS = 4_000;
const HOUR_MILLISECONDS = 3_600_000;
/** 3,700 changes a day. */
const CHANGES_IN_AN_HOUR = 154;

let fleets: MemoryFleet[] = [];

function createFleet(options: MemoryFleetOptions): MemoryFleet {
  const fleet = new MemoryFleet(options);
  fleets.push(fleet);
  return fleet;
}

/** Three VMs that have version 3; the first watches the log. */
async function createSmallFleet(): Promise<
  { platform: MemoryPlatform; fleet: MemoryFleet }
> {
  const platform = createMemoryPlatform();
  await writeUpTo(platform, 3);
  const vms = ["vm-1", "vm-2", "vm-3"];
  const fleet = createFleet({ platform, vms, watchers: ["vm-1"] });
  await fleet.advance(IN_FORCE_MILLISECONDS);
  expect(fleet.listVersions()).to.deep.equal([3]);
  return { platform, fleet };
}

function checkOnlyRising(fleet: MemoryFleet): void {
  for (const { versions } of fleet.vms.values()) {
    const sorted = [...new Set(versions)].sort((a, b) => a - b);
    expect(versions).to.deep.equal(sorted);
  }
}

/** 5 zones of 84 VMs; two watchers and three outside contacts a zone. */
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

describe("spread of the configuration", () => {
  afterEach(() => {
    fleets.forEach((fleet) => fleet.stop());
    fleets = [];
  });

  it("is in force on 420 VMs within 4 s of acceptance", async () => {
    const platform = createMemoryPlatform();
    await writeUpTo(platform, 1);
    const fleet = createFleet(createFullSize(platform));
    await fleet.advance(2 * IN_FORCE_MILLISECONDS);
    for (let weight = 2; weight <= 4; weight++) {
      const version = await writeWeight(platform, weight);
      await fleet.advance(IN_FORCE_MILLISECONDS);
      expect(fleet.listVersions()).to.deep.equal([version]);
    }
    checkOnlyRising(fleet);
  });

  it("leaves reading the platform to the watchers", async () => {
    const { platform, fleet } = await createSmallFleet();
    platform.faults.reads = 0;
    await fleet.advance(10 * IN_FORCE_MILLISECONDS);
    expect(platform.faults.reads).to.be.within(30, 60);
  });

  it("is in force within 4 s on a slow platform", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    platform.faults.delayMilliseconds = 1_000;
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("reaches peers by announcements alone", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    await platform.clock.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("turns to another holder when the first does not answer", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    fleet.silent.add("vm-1");
    fleet.cut.add("vm-2");
    await fleet.advance(IN_FORCE_MILLISECONDS);
    const holder = fleet.vms.get("vm-2")!;
    holder.store.receive(fleet.vms.get("vm-1")!.store.listChangesAfter(3)!);
    expect(holder.store.current.version).to.equal(version);
    const asker = fleet.start("vm-3");
    platform.faults.outage = true;
    fleet.cut.delete("vm-2");
    asker.peer.learnVersion("vm-1", version);
    await platform.clock.advance(100);
    asker.peer.learnVersion("vm-2", version);
    await platform.clock.advance(2_000);
    expect(asker.store.current.version).to.equal(version);
  });

  it("goes on by itself after a long outage", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    platform.faults.outage = true;
    await fleet.advance(HOUR_MILLISECONDS / 10);
    expect(fleet.listVersions()).to.deep.equal([3]);
    platform.faults.outage = false;
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([version]);
  });

  it("brings a VM up to date that was cut off for an hour", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.cut.add("vm-3");
    await writeUpTo(platform, 3 + CHANGES_IN_AN_HOUR);
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([3, 3 + CHANGES_IN_AN_HOUR]);
    fleet.cut.delete("vm-3");
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.listVersions()).to.deep.equal([3 + CHANGES_IN_AN_HOUR]);
    checkOnlyRising(fleet);
  });

  it("never takes a version back from a lagging peer", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.cut.add("vm-3");
    const version = await writeWeight(platform, 7);
    await fleet.advance(IN_FORCE_MILLISECONDS);
    const vm = fleet.vms.get("vm-2")!;
    const lagging = fleet.vms.get("vm-3")!;
    vm.peer.learnVersion("vm-3", lagging.store.current.version);
    expect(vm.store.receiveSnapshot(lagging.store.current)).to.equal(false);
    expect(vm.store.current.version).to.equal(version);
  });

  it("reads the log when the peers bring nothing", async () => {
    const { platform, fleet } = await createSmallFleet();
    fleet.vms.get("vm-1")!.stop();
    fleet.cut.add("vm-1");
    const version = await writeWeight(platform, 7);
    fleet.vms.get("vm-2")!.store.learnVersion(version);
    await fleet.advance(5 * IN_FORCE_MILLISECONDS);
    expect(fleet.vms.get("vm-3")!.store.current.version).to.equal(version);
  });

  it("starts a whole fleet again without peers that have anything", async () => {
    const { fleet } = await createSmallFleet();
    [...fleet.vms.keys()].forEach((vm) => fleet.start(vm));
    await fleet.advance(IN_FORCE_MILLISECONDS);
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
    // vm-2 lags behind the version that vm-1 and vm-3 have come to.
    fleet.cut.add("vm-2");
    const version = await writeWeight(platform, 7);
    await fleet.advance(IN_FORCE_MILLISECONDS);
    platform.faults.outage = true;
    fleet.vms.get("vm-2")!.stop();
    fleet.cut.delete("vm-2");
    const restarted = fleet.start("vm-3");
    restarted.peer.learnVersion("vm-2", 3);
    await platform.clock.advance(100);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(false);
    restarted.peer.learnVersion("vm-1", version);
    await platform.clock.advance(IN_FORCE_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(version);
    expect(restarted.hasJoined).to.equal(true);
  });

  it("does not serve while nobody has a configuration to give", async () => {
    const { platform, fleet } = await createSmallFleet();
    platform.faults.outage = true;
    fleet.cut.add("vm-3");
    const restarted = fleet.start("vm-3");
    await fleet.advance(HOUR_MILLISECONDS / 60);
    expect(restarted.hasJoined).to.equal(false);
    fleet.cut.delete("vm-3");
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(true);
  });

  it("does not serve while the platform has no configuration", async () => {
    const platform = createMemoryPlatform();
    const fleet = createFleet({ platform, vms: ["vm-1"], watchers: ["vm-1"] });
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.vms.get("vm-1")!.hasJoined).to.equal(false);
    await writeUpTo(platform, 1);
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(fleet.vms.get("vm-1")!.hasJoined).to.equal(true);
  });

  it("waits for the version that the platform names", async () => {
    const { platform, fleet } = await createSmallFleet();
    const version = await writeWeight(platform, 7);
    const restarted = fleet.start("vm-3");
    restarted.peer.learnVersion("vm-2", 3);
    await platform.clock.advance(100);
    expect(restarted.store.current.version).to.equal(3);
    expect(restarted.hasJoined).to.equal(false);
    await fleet.advance(IN_FORCE_MILLISECONDS);
    expect(restarted.store.current.version).to.equal(version);
    expect(restarted.hasJoined).to.equal(true);
  });
});
