import { PlacementReason, RefusalReason } from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { POISON } from "./testing/fake_endpoint.ts";
import { PoolWorld } from "./testing/pool_world.ts";

function createWorld(zones: string[], endpoints: number): PoolWorld {
  const world = new PoolWorld({
    seed: 3,
    zones: zones.map((zone) => ({ zone, vms: 2, endpoints })),
  });
  for (const zone of zones) {
    world.startScheduler(`${zone}-vm0`);
  }
  return world;
}

/** Keeps copies of a crashing request open, each added at a random VM. */
function createRetryingCaller(world: PoolWorld, copies: number): () => void {
  return () => {
    let open = 0;
    for (const { waiting, running } of world.ingresses.values()) {
      const requests = [
        ...waiting.values(),
        ...[...running.values()].map(({ request }) => request),
      ];
      open += requests.filter(({ entry }) =>
        entry.fingerprint === POISON
      ).length;
    }
    for (; open < copies; open++) {
      const vm = world.random.pick([...world.ingresses.keys()]) as string;
      const fingerprint = POISON;
      world.addRequest({ vm, organisation: "bad", cost: 400, fingerprint });
    }
  };
}

/** Keeps requests of another organisation waiting at every VM. */
function createBackgroundLoad(world: PoolWorld): () => void {
  return () => {
    for (const vm of world.ingresses.keys()) {
      while (world.countWaiting(vm, "good") < 5) {
        world.addRequest({ vm, organisation: "good", cost: 300 });
      }
    }
  };
}

describe("PoolScheduler with a request that crashes endpoints", () => {
  for (const copies of [1, 20]) {
    it(`loses two endpoints at most, later sent ${copies} at a time`, async () => {
      const world = createWorld(["z1"], 6);
      const first = createRetryingCaller(world, 1);
      const later = createRetryingCaller(world, copies);
      const addBackgroundLoad = createBackgroundLoad(world);
      await world.run(20_000, () => {
        addBackgroundLoad();
        const crashes = world.sumEndpoints((endpoint) => endpoint.crashes);
        (crashes === 0 ? first : later)();
      });
      expect(world.sumEndpoints(({ crashes }) => crashes)).to.be.within(1, 2);
      const reasons = new Set<RefusalReason>();
      for (const { refusals } of world.ingresses.values()) {
        refusals.forEach(({ reason }) => reasons.add(reason));
      }
      expect([...reasons]).to.deep.equal([RefusalReason.Quarantined]);
      const share = (world.service.get("good") ?? 0) / (20_000 * 24);
      expect(share).to.be.above(0.85);
    });
  }

  for (const copies of [1, 20]) {
    it(`awaits evidence of a crash without other load, ${copies} sent`, async () => {
      const world = createWorld(["z1"], 6);
      const first = createRetryingCaller(world, 1);
      const later = createRetryingCaller(world, copies);
      await world.run(20_000, () => {
        const crashes = world.sumEndpoints((endpoint) => endpoint.crashes);
        (crashes === 0 ? first : later)();
      });
      expect(world.sumEndpoints(({ crashes }) => crashes)).to.equal(2);
    });
  }

  it("runs suspects alone even when every endpoint is busy", async () => {
    const world = createWorld(["z1"], 2);
    const addBackgroundLoad = createBackgroundLoad(world);
    await world.run(4000, addBackgroundLoad);
    const lost = [...world.findEndpoint("z1-e0").jobs.values()];
    world.findEndpoint("z1-e0").options.downMilliseconds = 60_000;
    world.findEndpoint("z1-e0").crash();
    let alone = 0;
    await world.run(10_000, () => {
      addBackgroundLoad();
      for (const { running } of world.ingresses.values()) {
        for (const { grant } of running.values()) {
          if (grant.reason === PlacementReason.SuspectAlone) {
            expect(world.findEndpoint(grant.endpoint).jobs.size).to.equal(1);
            alone++;
          }
        }
      }
    });
    expect(lost).to.have.lengthOf(4);
    expect(alone).to.be.above(0);
    const completed = new Set<string>();
    for (const ingress of world.ingresses.values()) {
      ingress.completed.forEach((request) => completed.add(request));
    }
    for (const { fingerprint } of lost) {
      expect(completed.has(fingerprint), fingerprint).to.equal(true);
    }
  });

  it("loses two endpoints at most when it is sent to every zone in turn", async () => {
    const world = createWorld(["z1", "z2", "z3"], 2);
    const addRequest = createRetryingCaller(world, 1);
    await world.run(20_000, addRequest);
    expect(world.sumEndpoints(({ crashes }) => crashes)).to.be.within(1, 2);
  });

  it("does not permanently quarantine requests that ran beside a crash", async () => {
    const world = createWorld(["z1"], 2);
    const addBackgroundLoad = createBackgroundLoad(world);
    for (let crash = 0; crash < 4; crash++) {
      await world.run(4000, addBackgroundLoad);
      world.findEndpoint("z1-e0").crash();
    }
    await world.run(10_000, addBackgroundLoad);
    const refusals = world.sumIngresses((ingress) => ingress.refusals.length);
    expect(refusals).to.equal(0);
  });
});
