import { RecordingLogger } from "@rattanvane/base";
import {
  type Message,
  MessageKind,
  PlacementReason,
  type PoolId,
  RefusalReason,
} from "@rattanvane/protocol";
import { expect } from "chai";
import { describe, it } from "mocha";
import { PoolObserver } from "./pool_observer.ts";
import { PoolWorld, type PoolWorldOptions } from "./testing/pool_world.ts";

function createWorld(options: Partial<PoolWorldOptions> = {}): PoolWorld {
  const world = new PoolWorld({
    seed: 21,
    zones: [{ zone: "z1", vms: 3, endpoints: 2 }],
    ...options,
  });
  world.startScheduler("z1-vm0");
  return world;
}

/** Records observed decisions. */
class RecordingObserver extends PoolObserver {
  readonly waits: number[] = [];
  readonly refusals: RefusalReason[] = [];

  override recordGrant(_: PoolId, grant: { waitedMilliseconds: number }): void {
    this.waits.push(grant.waitedMilliseconds);
  }

  override recordRefusal(_: PoolId, reason: RefusalReason): void {
    this.refusals.push(reason);
  }
}

const LONG = { vm: "z1-vm1", organisation: "a", cost: 5000 };

function listReasons(world: PoolWorld, vm: string): RefusalReason[] {
  return world.findIngress(vm).refusals.map(({ reason }) => reason);
}

function describePool(world: PoolWorld) {
  return world.schedulers[0]!.scheduler.describeStatus();
}

describe("PoolScheduler queue", () => {
  it("refuses only requests over an organisation's queue limit", async () => {
    const world = createWorld({ queueLimits: { a: 10 } });
    await world.run(1000);
    world.addRequests(30, LONG);
    world.addRequests(15, { ...LONG, organisation: "b" });
    await world.run(100);
    const reasons = listReasons(world, "z1-vm1");
    expect(reasons).to.have.lengthOf(12);
    expect(new Set(reasons)).to.deep.equal(new Set([RefusalReason.QueueFull]));
    expect(world.countWaiting("z1-vm1", "b")).to.equal(15);
  });

  it("refuses expired requests and never runs them", async () => {
    const world = createWorld();
    await world.run(1000);
    world.addRequests(8, LONG);
    await world.run(50);
    world.addRequests(3, { ...LONG, waitLimitMilliseconds: 1000 });
    await world.run(1200);
    expect(listReasons(world, "z1-vm1")).to.deep.equal(
      Array(3).fill(RefusalReason.WaitedTooLong),
    );
    await world.run(10_000);
    expect(world.findIngress("z1-vm1").completed.size).to.equal(8);
  });

  it("removes a cancelled request from the queue", async () => {
    const world = createWorld();
    await world.run(1000);
    world.addRequests(8, LONG);
    const request = world.addRequest(LONG);
    await world.run(50);
    expect(describePool(world).waiting).to.equal(1);
    world.findIngress("z1-vm1").cancel(request);
    await world.run(50);
    expect(describePool(world).waiting).to.equal(0);
  });

  it("frees the slot of a declined grant", async () => {
    const world = createWorld();
    await world.run(1000);
    const request = world.addRequest(LONG);
    world.findIngress("z1-vm1").waiting.delete(request);
    await world.run(50);
    const { running, endpoints } = describePool(world);
    expect(running).to.equal(0);
    expect(endpoints.map(({ outstanding }) => outstanding)).to.deep.equal([
      0,
      0,
    ]);
  });

  it("prefers a cached prefix unless that endpoint is full", async () => {
    const world = createWorld();
    await world.run(1000);
    world.addRequests(6, { ...LONG, prefix: "p" });
    await world.run(50);
    const placed = world.findIngress("z1-vm1").grants.map((grant) => [
      grant.endpoint,
      grant.reason,
    ]);
    const [first] = placed[0]!;
    const other = first === "z1-e0" ? "z1-e1" : "z1-e0";
    expect(placed.slice(1, 4)).to.deep.equal(
      Array(3).fill([first, PlacementReason.CachedPrefix]),
    );
    expect(placed[4]).to.deep.equal([other, PlacementReason.LeastLoaded]);
  });

  it("avoids endpoints that failed a request if there are others", async () => {
    const world = createWorld();
    await world.run(1000);
    for (const avoid of [["z1-e0"], ["z1-e0"], ["z1-e0", "z1-e1"]]) {
      world.addRequest({ ...LONG, avoid });
    }
    await world.run(50);
    const placed = world.findIngress("z1-vm1").grants.map(
      ({ endpoint }) => endpoint,
    );
    expect(placed).to.deep.equal(["z1-e1", "z1-e1", "z1-e0"]);
  });

  for (const isGone of [false, true]) {
    const who = isGone ? "ingress died" : "finish message was lost";
    it(`frees the slots of attempts whose ${who}`, async () => {
      const world = createWorld();
      await world.run(1000);
      world.network.shouldDrop = ({ kind }) => kind === MessageKind.Finish;
      world.addRequests(8, { ...LONG, cost: 500 });
      await world.run(4000);
      expect(describePool(world).running).to.equal(8);
      world.findIngress("z1-vm1").isAlive = !isGone;
      await world.run(isGone ? 12_000 : 4000);
      const { running, endpoints } = describePool(world);
      const outstanding = endpoints.map((endpoint) => endpoint.outstanding);
      expect([running, ...outstanding]).to.deep.equal([0, 0, 0]);
    });
  }

  it("repeats lost grants without a work report", async () => {
    const world = createWorld();
    await world.run(1000);
    let lost = 0;
    world.network.shouldDrop = ({ kind }) =>
      kind === MessageKind.Grant && lost++ < 3;
    world.addRequests(8, { ...LONG, cost: 500 });
    await world.run(8000);
    expect(world.findIngress("z1-vm1").completed.size).to.equal(8);
  });
});

describe("PoolScheduler log", () => {
  it("has a line with all identifiers for each grant and refusal", async () => {
    const logger = new RecordingLogger();
    const observer = new RecordingObserver();
    const world = createWorld({ logger, observer, queueLimits: { a: 2 } });
    await world.run(1000);
    world.addRequests(11, LONG);
    await world.run(50);
    const sentences = logger.lines.map(({ sentence }) => sentence);
    const grants = sentences.filter((one) => one === "granted an attempt");
    const refusals = sentences.filter((one) => one === "refused a request");
    expect([grants.length, refusals.length]).to.deep.equal([8, 1]);
    const line = logger.lines.find(({ sentence }) => sentence === grants[0]);
    expect(line?.fields).to.include({
      request: "r1",
      organisation: "a",
      service: "model",
      zone: "z1",
      reason: PlacementReason.LeastLoaded,
    });
    expect(line?.fields).to.include.keys("attempt", "endpoint");
    expect(observer.waits).to.deep.equal(Array(8).fill(0));
    expect(observer.refusals).to.deep.equal([RefusalReason.QueueFull]);
  });
});

describe("PoolScheduler rebuild", () => {
  it("loses no waiting request when its scheduler dies", async () => {
    const world = createWorld();
    for (const vm of ["z1-vm0", "z1-vm1", "z1-vm2"]) {
      world.addRequests(30, { vm, organisation: vm, cost: 400 });
    }
    for (let death = 1; death <= 5; death++) {
      await world.run(700);
      world.stopScheduler(world.schedulers[0]!);
      world.startScheduler(`z1-vm${death % 3}`);
    }
    await world.run(10_000);
    expect(world.sumIngresses(({ completed }) => completed.size)).to.equal(90);
    expect(world.sumIngresses(({ duplicateRuns }) => duplicateRuns)).to.equal(
      0,
    );
    expect(describePool(world).running).to.equal(0);
  });

  it("waits for reports of all live ingresses before it grants", async () => {
    const world = createWorld();
    await world.run(1000);
    world.addRequests(12, LONG);
    await world.run(100);
    world.stopScheduler(world.schedulers[0]!);
    let lost = 0;
    world.network.shouldDrop = (message: Message) =>
      message.kind === MessageKind.RequestWork && lost++ < 4;
    world.startScheduler("z1-vm2");
    expect(describePool(world).rebuilding).to.equal(true);
    await world.run(1500);
    const { rebuilding, running, waiting } = describePool(world);
    expect([rebuilding, running, waiting]).to.deep.equal([false, 8, 4]);
  });

  it("continues without an ingress that does not report", async () => {
    const world = createWorld();
    await world.run(100);
    world.stopScheduler(world.schedulers[0]!);
    world.findIngress("z1-vm2").isAlive = false;
    world.findIngress("z1-vm1").scheduler = "z1-vm0";
    world.addRequest({ ...LONG, cost: 100 });
    world.startScheduler("z1-vm0");
    await world.run(4000);
    expect(world.findIngress("z1-vm1").completed.size).to.equal(1);
  });

  it("repeats a lost grant and frees one unknown to its ingress", async () => {
    const world = createWorld();
    await world.run(1000);
    let lost = 0;
    world.network.shouldDrop = (message: Message) =>
      message.kind === MessageKind.Grant && lost++ < 3;
    world.addRequests(3, { ...LONG, cost: 100 });
    await world.run(2500);
    expect(describePool(world).running).to.equal(3);
    const ingress = world.findIngress("z1-vm1");
    ingress.waiting.delete([...ingress.waiting.keys()][0] as string);
    ingress.sendWorkReport();
    ingress.sendWorkReport();
    await world.run(500);
    expect(ingress.completed.size).to.equal(2);
    expect(describePool(world).running).to.equal(0);
  });

  it("drops a dead ingress's entries and counts its attempts", async () => {
    const world = createWorld();
    await world.run(1000);
    world.addRequests(12, LONG);
    await world.run(100);
    world.killVm("z1-vm1");
    const { waiting, running, endpoints } = describePool(world);
    expect([waiting, running]).to.deep.equal([0, 0]);
    expect(endpoints.map(({ outstanding }) => outstanding)).to.deep.equal([
      4,
      4,
    ]);
    await world.run(7000);
    expect(describePool(world).endpoints[0]?.outstanding).to.equal(0);
  });

  it("hands over counters and limits", async () => {
    const zone = {
      zone: "z1",
      vms: 2,
      endpoints: 1,
      endpoint: { slots: 16, coldSlots: 2 },
    };
    const world = createWorld({ zones: [zone] });
    const tenants = [["a", 2000], ["b", 100]] as const;
    const vm = "z1-vm1";
    await world.run(15_000, () => {
      for (const [organisation, cost] of tenants) {
        while (world.countWaiting(vm, organisation) < 20) {
          world.addRequest({ vm, organisation, cost });
        }
      }
    });
    const former = world.schedulers[0]!;
    world.network.shouldDrop = ({ kind }) => kind === MessageKind.Finish;
    const before = former.scheduler.describeStatus();
    const next = world.startScheduler(vm);
    former.scheduler.handOver(vm);
    await world.run(20);
    const after = next.scheduler.describeStatus();
    expect(after.organisations).to.deep.equal(before.organisations);
    expect(after.virtualTime).to.equal(before.virtualTime);
  });

  it("keeps slots busy during a handover", async () => {
    const world = createWorld();
    const add = () => {
      while (world.countWaiting("z1-vm1", "a") < 20) {
        const cost = world.random.nextInteger(50, 400);
        world.addRequest({ ...LONG, cost });
      }
    };
    await world.run(3000, add);
    const former = world.schedulers[0]!;
    world.startScheduler("z1-vm1");
    former.scheduler.handOver("z1-vm1");
    const { used, available } = await world.measureSlotUsage(1000, add);
    expect(used / available).to.be.above(0.85);
  });

  it("hands over the limit of an idle endpoint", async () => {
    const endpoint = { slots: 16, coldSlots: 2 };
    const zone = { zone: "z1", vms: 2, endpoints: 1, endpoint };
    const world = createWorld({ zones: [zone] });
    await world.run(15_000, () => {
      while (world.countWaiting("z1-vm1", "a") < 20) {
        world.addRequest({ ...LONG, cost: 500 });
      }
    });
    await world.run(5000);
    const former = world.schedulers[0]!;
    const next = world.startScheduler("z1-vm1");
    former.scheduler.handOver("z1-vm1");
    await world.run(600);
    expect(next.scheduler.describeStatus().endpoints[0]?.limit).to.equal(16);
  });
});
