import { MessageKind } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import type { PoolStatus } from "./pool_status.ts";
import { PoolWorld } from "./testing/pool_world.ts";

const VM = "z1-vm1";
const REQUESTS = 14;

/** Creates a world in which one VM's requests fill all slots and a queue. */
async function createBusyWorld(): Promise<PoolWorld> {
  const world = new PoolWorld({
    seed: 21,
    zones: [{ zone: "z1", vms: 3, endpoints: 2 }],
  });
  world.startScheduler("z1-vm0");
  await world.run(1000);
  const requests = { vm: VM, organisation: "a", cost: 60_000 };
  world.addRequests(REQUESTS, requests);
  await world.run(3000);
  return world;
}

function describePool(world: PoolWorld): PoolStatus {
  return world.schedulers[0]!.scheduler.describeStatus();
}

function checkIngress(world: PoolWorld): void {
  world.schedulers[0]!.scheduler.checkIngress(VM);
}

function sumOutstanding({ endpoints }: PoolStatus): number {
  return endpoints.reduce((sum, { outstanding }) => sum + outstanding, 0);
}

/** Simulates a VM restart: its memory is lost, its attempts still run. */
function removeWork(world: PoolWorld): void {
  const ingress = world.findIngress(VM);
  ingress.waiting.clear();
  ingress.running.clear();
}

describe("PoolScheduler.checkIngress", () => {
  it("keeps the work of an ingress that has not restarted", async () => {
    const world = await createBusyWorld();
    const before = describePool(world);
    expect(before.running).to.be.above(0);
    expect(before.waiting).to.be.above(0);
    checkIngress(world);
    for (const milliseconds of [0, 50, 1000]) {
      await world.run(milliseconds);
      const after = describePool(world);
      expect(after.running).to.equal(before.running);
      expect(after.waiting).to.equal(before.waiting);
      expect(sumOutstanding(after)).to.equal(before.running);
    }
  });

  it("drops entries of a restarted ingress and counts what still runs", async () => {
    const world = await createBusyWorld();
    const { running } = describePool(world);
    removeWork(world);
    checkIngress(world);
    await world.run(50);
    const after = describePool(world);
    expect(after.waiting).to.equal(0);
    expect(after.running).to.equal(0);
    expect(sumOutstanding(after)).to.equal(running);
  });

  it("repeats the work request after it was lost", async () => {
    const world = await createBusyWorld();
    removeWork(world);
    world.network.shouldDrop = ({ kind }) => kind === MessageKind.RequestWork;
    checkIngress(world);
    await world.run(600);
    expect(describePool(world).waiting).to.be.above(0);
    world.network.shouldDrop = () => false;
    await world.run(600);
    expect(describePool(world).waiting).to.equal(0);
  });
});
