import type { RandomSource } from "@rattanvane/base";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PoolWorld } from "./testing/pool_world.ts";

const ZONES = ["z1", "z2", "z3"];
const FAULT_COUNT = 25;
const MESSAGE_LOSS_RATE = 0.02;

/** Seeds that revealed faults in the past, and a few more. */
const SEEDS = [1, 3, 7, 28, 30, 102, 111, 184, 294, 296, 312, 339];

interface Faults {
  world: PoolWorld;
  random: RandomSource;
  /** The number of crashes that the test injected. */
  injectedCrashes: number;
  dropsMessages: boolean;
}

function createFaults(seed: number): Faults {
  const endpoint = { slots: 8, coldSlots: 2, warmUpMilliseconds: 1500 };
  const zones = ZONES.map((zone) => ({
    zone,
    vms: 3,
    endpoints: 2,
    endpoint,
  }));
  const world = new PoolWorld({ seed, zones });
  const { random } = world;
  const faults = { world, random, injectedCrashes: 0, dropsMessages: false };
  world.network.shouldDrop = () =>
    faults.dropsMessages && random.nextFraction() < MESSAGE_LOSS_RATE;
  ZONES.forEach((zone) => world.startScheduler(`${zone}-vm0`));
  return faults;
}

/** Keeps a large backlog in one zone and a small one in the others. */
function addLoad({ world, random }: Faults): void {
  for (const [vm, ingress] of world.ingresses) {
    const backlog = vm.startsWith("z1") ? 30 : 3;
    while (ingress.waiting.size < backlog) {
      const organisation = `o${random.nextInteger(1, 5)}`;
      const cost = random.nextInteger(20, 1500);
      world.addRequest({ vm, organisation, cost });
    }
  }
}

/** Replaces a zone's scheduler with one on another VM. */
async function runTakeover(
  faults: Faults,
  options: { zone: string; isGraceful: boolean },
): Promise<void> {
  const { world, random } = faults;
  const former = world.schedulers.find(({ zone }) => zone === options.zone)!;
  const place = (Number(former.vm.at(-1)) + random.nextInteger(1, 2)) % 3;
  const next = `${options.zone}-vm${place}`;
  if (options.isGraceful) {
    world.startScheduler(next);
    former.scheduler.handOver(next);
    await world.run(300, () => addLoad(faults));
    world.stopScheduler(former);
  } else {
    world.stopScheduler(former);
    world.startScheduler(next);
  }
  for (const ingress of world.ingresses.values()) {
    ingress.handleDeadScheduler(former.vm);
  }
}

async function runFault(faults: Faults): Promise<void> {
  const { world, random } = faults;
  const zone = random.pick(ZONES) as string;
  const endpoint = world.findEndpoint(`${zone}-e${random.nextInteger(0, 1)}`);
  const { zones, endpoints } = world.configuration;
  const first = `${zone}-e0`;
  switch (random.nextInteger(0, 6)) {
    case 0:
      return await runTakeover(faults, { zone, isGraceful: false });
    case 1:
      faults.injectedCrashes += endpoint.isDown ? 0 : 1;
      return endpoint.isDown ? undefined : endpoint.crash();
    case 2:
      return world.updateZone(zone, !zones.get(zone)!.drained);
    case 3:
      return world.updateEndpoint(first, !endpoints.get(first)!.drained);
    case 4:
      return updatePartition(world);
    case 5:
      return await runTakeover(faults, { zone, isGraceful: true });
    case 6:
      faults.dropsMessages = !faults.dropsMessages;
  }
}

function updatePartition({ network }: PoolWorld): void {
  if (network.partitions.size > 0) {
    network.partitions.clear();
  } else {
    network.partitions.add("z1|z2");
  }
}

/** Ends all faults; ingresses send work reports as after a reconnect. */
function stopFaults(faults: Faults): void {
  const { world } = faults;
  faults.dropsMessages = false;
  world.network.partitions.clear();
  for (const zone of ZONES) {
    world.updateZone(zone, false);
    world.updateEndpoint(`${zone}-e0`, false);
  }
  for (const ingress of world.ingresses.values()) {
    for (const vm of new Set(ingress.movedTo.values())) {
      ingress.handleDeadScheduler(vm);
    }
    ingress.sendWorkReport();
  }
}

/** Counts the requests that wait or run. */
function countOpen(world: PoolWorld): number {
  return world.sumIngresses(({ waiting, running }) =>
    waiting.size + running.size
  );
}

describe("PoolScheduler under random faults", () => {
  for (const seed of SEEDS) {
    it(`loses or duplicates no request, overloads no endpoint, seed ${seed}`, async () => {
      const faults = createFaults(seed);
      const { world, random } = faults;
      for (let fault = 0; fault < FAULT_COUNT; fault++) {
        const pause = random.nextInteger(100, 2500);
        await world.run(pause, () => addLoad(faults));
        await runFault(faults);
      }
      stopFaults(faults);
      for (let second = 0; second < 90 && countOpen(world) > 0; second++) {
        await world.run(1000);
      }
      expect(countOpen(world), "open requests").to.equal(0);
      const duplicates = world.sumIngresses(({ duplicateRuns }) =>
        duplicateRuns
      );
      expect(duplicates, "duplicate runs").to.equal(0);
      const crashes = world.sumEndpoints((endpoint) => endpoint.crashes);
      expect(crashes - faults.injectedCrashes, "overloads").to.equal(0);
      await world.run(12_000);
      for (const { scheduler } of world.schedulers) {
        const { waiting, running, moving } = scheduler.describeStatus();
        expect([waiting, running, moving]).to.deep.equal([0, 0, 0]);
      }
    });
  }
});
