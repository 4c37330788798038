import { type Message, MessageKind } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PoolWorld, type PoolWorldOptions } from "./testing/pool_world.ts";

const COLD_ENDPOINT = { slots: 16, coldSlots: 2, warmUpMilliseconds: 1500 };

function createWorld(options: Partial<PoolWorldOptions> = {}): PoolWorld {
  const zone = { zone: "z1", vms: 3, endpoints: 2, endpoint: COLD_ENDPOINT };
  return new PoolWorld({ seed: 5, zones: [zone], ...options });
}

/** Returns a step that keeps short and long requests waiting at every VM. */
function createFlood(world: PoolWorld): () => void {
  return () => {
    for (const [vm, ingress] of world.ingresses) {
      while (ingress.isAlive && ingress.waiting.size < 40) {
        const cost = world.random.nextInteger(50, 3000);
        world.addRequest({ vm, organisation: "a", cost });
      }
    }
  };
}

function countCrashes(world: PoolWorld): number {
  return world.sumEndpoints(({ crashes }) => crashes);
}

describe("PoolScheduler with cold endpoints", () => {
  it("never exceeds the capacity of an endpoint while it warms up", async () => {
    const world = createWorld();
    world.startScheduler("z1-vm0");
    await world.run(40_000, createFlood(world));
    expect(countCrashes(world)).to.equal(0);
    expect(world.findEndpoint("z1-e0").peakRunning).to.equal(16);
  });

  it("never exceeds it across takeovers with grants in flight", async () => {
    for (const seed of [1, 2, 3, 4, 5, 16]) {
      const world = createWorld({ seed });
      world.startScheduler("z1-vm0");
      const flood = createFlood(world);
      for (let takeover = 1; takeover < 8; takeover++) {
        await world.run(world.random.nextInteger(200, 4000), flood);
        world.stopScheduler(world.schedulers[0]!);
        world.startScheduler(`z1-vm${takeover % 3}`);
      }
      expect(countCrashes(world), `seed ${seed}`).to.equal(0);
    }
  });

  it("grants nothing above the cold limit before all work is known", async () => {
    const world = createWorld();
    const previous = world.startScheduler("z1-vm0");
    const flood = createFlood(world);
    await world.run(20_000, flood);
    world.stopScheduler(previous);
    world.network.shouldDrop = (message: Message) =>
      message.kind === MessageKind.WorkReport &&
      world.random.pick([0, 1]) === 0;
    const { scheduler } = world.startScheduler("z1-vm1");
    const grantsBefore = world.sumIngresses(({ grants }) => grants.length);
    await world.run(700, () => {
      const { rebuilding } = scheduler.describeStatus();
      const grants = world.sumIngresses((ingress) => ingress.grants.length);
      expect(rebuilding ? grants - grantsBefore : 0).to.equal(0);
    });
  });

  it("never exceeds it after an endpoint restarts without notice", async () => {
    for (const seed of [1, 2, 3, 4, 5, 16]) {
      const world = createWorld({ seed });
      world.startScheduler("z1-vm0");
      const flood = createFlood(world);
      for (let restart = 1; restart <= 4; restart++) {
        await world.run(world.random.nextInteger(1000, 12_000), flood);
        world.findEndpoint("z1-e0").crash();
        if (restart % 2 === 0) {
          world.stopScheduler(world.schedulers[0]!);
          world.startScheduler("z1-vm1");
        }
      }
      await world.run(15_000, flood);
      expect(countCrashes(world), `seed ${seed}`).to.equal(4);
      expect(world.findEndpoint("z1-e0").jobs.size).to.be.above(8);
    }
  });

  it("never exceeds it with two schedulers unaware of each other", async () => {
    for (const seed of [1, 2, 3, 4, 5, 16]) {
      const world = createWorld({ seed, leased: false });
      const [vm0, vm1, vm2] = ["z1-vm0", "z1-vm1", "z1-vm2"];
      world.startScheduler(vm0!, new Set([vm1!, vm2!]));
      const flood = createFlood(world);
      await world.run(world.random.nextInteger(0, 20_000), flood);
      world.startScheduler(vm1!, new Set([vm0!]));
      await world.run(30_000, flood);
      expect(countCrashes(world), `seed ${seed}`).to.equal(0);
    }
  });

  it("does not leave endpoints permanently idle without a lease", async () => {
    const world = createWorld({ leased: false });
    world.startScheduler("z1-vm0");
    const flood = createFlood(world);
    await world.run(80_000, flood);
    const { used, available } = await world.measureSlotUsage(10_000, flood);
    expect(used / available).to.be.above(0.9);
  });

  it("sends a failed endpoint one request at a time until it responds", async () => {
    const world = createWorld();
    world.startScheduler("z1-vm0");
    const flood = createFlood(world);
    await world.run(10_000, flood);
    const failed = world.findEndpoint("z1-e1");
    failed.options.downMilliseconds = 20_000;
    failed.crash();
    await world.run(1000, flood);
    const grantsBefore = countGrants(world, "z1-e1");
    await world.run(18_000, flood);
    expect(countGrants(world, "z1-e1") - grantsBefore).to.be.within(1, 25);
    await world.run(12_000, flood);
    expect(failed.jobs.size).to.be.above(0);
  });
});

function countGrants(world: PoolWorld, endpoint: string): number {
  return world.sumIngresses(({ grants }) =>
    grants.filter((grant) => grant.endpoint === endpoint).length
  );
}
