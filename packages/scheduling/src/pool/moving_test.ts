import {
  type Message,
  MessageKind,
  PlacementReason,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PoolWorld, type PoolWorldOptions } from "./testing/pool_world.ts";

function createWorld(options: Partial<PoolWorldOptions> = {}): PoolWorld {
  const world = new PoolWorld({
    seed: 9,
    zones: ["z1", "z2", "z3"].map((zone) => ({ zone, vms: 2, endpoints: 2 })),
    ...options,
  });
  for (const zone of ["z1", "z2", "z3"]) {
    world.startScheduler(`${zone}-vm0`);
  }
  return world;
}

/** Returns a step that adds work at one VM only, the most uneven load. */
function createFlood(world: PoolWorld, vm = "z1-vm1"): () => void {
  return () => {
    const ingress = world.findIngress(vm);
    while (ingress.isAlive && ingress.waiting.size < 60) {
      const cost = world.random.nextInteger(100, 1500);
      world.addRequest({ vm, organisation: "a", cost });
    }
  };
}

function countRunningIn(world: PoolWorld, zone: string): number {
  return world.sumEndpoints(({ options, jobs }) =>
    options.name.startsWith(zone) ? jobs.size : 0
  );
}

/** Runs until no request is open; fails after 60 s of simulated time. */
async function runToEnd(world: PoolWorld): Promise<void> {
  for (let second = 0; second < 60; second++) {
    await world.run(1000);
    const open = world.sumIngresses(({ waiting, running }) =>
      waiting.size + running.size
    );
    if (open === 0) {
      return;
    }
  }
  expect.fail("requests are still open after 60 s");
}

describe("PoolScheduler moves", () => {
  it("keep all zones busy when all work arrives at one VM", async () => {
    const world = createWorld();
    const flood = createFlood(world);
    await world.run(2000, flood);
    const { used, available } = await world.measureSlotUsage(20_000, flood);
    expect(used / available).to.be.above(0.97);
  });

  it("use idle zones immediately when requests begin to wait", async () => {
    const world = createWorld();
    await world.run(3120);
    world.addRequests(24, { vm: "z1-vm1", organisation: "a", cost: 1000 });
    await world.run(200);
    expect(world.sumEndpoints(({ jobs }) => jobs.size)).to.equal(24);
  });

  it("run no request twice", async () => {
    const world = createWorld();
    world.addRequests(300, { vm: "z1-vm1", organisation: "a", cost: 300 });
    await runToEnd(world);
    const { completed, duplicateRuns, grants } = world.findIngress("z1-vm1");
    expect(completed.size).to.equal(300);
    expect(duplicateRuns).to.equal(0);
    const elsewhere = grants.filter((grant) => grant.pool.zone !== "z1");
    expect(elsewhere.length).to.be.above(150);
    expect(new Set(elsewhere.map(({ reason }) => reason))).to.deep.equal(
      new Set([PlacementReason.OtherZone]),
    );
  });

  for (
    const kind of [
      MessageKind.MoveEntries,
      MessageKind.EntriesTaken,
      MessageKind.EntryMoved,
      MessageKind.Offer,
    ]
  ) {
    it(`lose no request when ${kind} messages are lost`, async () => {
      const world = createWorld();
      world.network.shouldDrop = (message: Message) =>
        message.kind === kind && world.random.nextFraction() < 0.5;
      world.addRequests(200, { vm: "z1-vm1", organisation: "a", cost: 300 });
      await runToEnd(world);
      expect(world.findIngress("z1-vm1").completed.size).to.equal(200);
      expect(world.findIngress("z1-vm1").duplicateRuns).to.equal(0);
    });
  }

  it("lose no request when the receiving VM dies", async () => {
    const world = createWorld();
    world.addRequests(400, { vm: "z1-vm1", organisation: "a", cost: 1000 });
    await world.run(1500);
    expect(world.findIngress("z1-vm1").movedTo.size).to.be.above(0);
    world.killVm("z2-vm0");
    world.startScheduler("z2-vm1");
    world.findIngress("z1-vm1").handleDeadScheduler("z2-vm0");
    await runToEnd(world);
    expect(world.findIngress("z1-vm1").completed.size).to.equal(400);
  });
});

describe("PoolScheduler drains", () => {
  it("send a drained zone no work and finish its running requests", async () => {
    const world = createWorld();
    const floods = ["z1-vm1", "z2-vm1"].map((vm) => createFlood(world, vm));
    const flood = () => floods.forEach((add) => add());
    await world.run(5000, flood);
    const grantsBefore = countGrantsIn(world, "z2");
    const running = countRunningIn(world, "z2");
    expect(running).to.be.within(6, 8);
    world.updateZone("z2", true);
    const { used } = await world.measureSlotUsage(10_000, flood);
    // Grants that were in flight still arrive.
    expect(countGrantsIn(world, "z2") - grantsBefore).to.be.below(9);
    expect(countRunningIn(world, "z2")).to.equal(0);
    // Two thirds of the slots, plus the requests still running in the zone.
    expect(used / (16 * 10_000 / 5)).to.be.above(0.97);
    expect(world.sumEndpoints(({ crashes }) => crashes)).to.equal(0);
    world.updateZone("z2", false);
    await world.run(500, flood);
    const afterDrain = await world.measureSlotUsage(10_000, flood);
    expect(afterDrain.used / afterDrain.available).to.be.above(0.97);
  });

  it("move the requests waiting in a drained zone", async () => {
    const world = createWorld();
    world.addRequests(200, { vm: "z2-vm1", organisation: "a", cost: 500 });
    await world.run(100);
    world.updateZone("z2", true);
    await runToEnd(world);
    expect(world.findIngress("z2-vm1").completed.size).to.equal(200);
  });

  it("send a drained endpoint no work until it is restored", async () => {
    const world = createWorld();
    const flood = createFlood(world);
    await world.run(3000, flood);
    world.updateEndpoint("z1-e0", true);
    await world.run(2000, flood);
    expect(world.findEndpoint("z1-e0").jobs.size).to.equal(0);
    world.updateEndpoint("z1-e0", false);
    await world.run(200, flood);
    expect(world.findEndpoint("z1-e0").jobs.size).to.equal(4);
  });
});

function countGrantsIn(world: PoolWorld, zone: string): number {
  return world.sumIngresses(({ grants }) =>
    grants.filter((grant) => grant.pool.zone === zone).length
  );
}
