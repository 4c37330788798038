import { expect } from "chai";
import { describe, it } from "mocha";
import { buildCall } from "../testing/fixtures.ts";
import {
  SimulatedFleet,
  type SimulatedVm,
} from "../testing/simulated_fleet.ts";
import { SimulatedLoad } from "../testing/simulated_load.ts";

const VMS = 40;
const ZONES = 5;
const ENDPOINTS = 10;
/** The rate of a cold endpoint: 20 a second, with factor 1.5 and 5 more. */
const COLD_BOUND = 35;

async function startFleet(
  options: { seed: number; isCold?: boolean },
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet({
    seed: options.seed,
    zones: ZONES,
    endpoints: ENDPOINTS,
    isCold: options.isCold ?? false,
  });
  await fleet.startAll(VMS);
  await fleet.clock.advance(3_000);
  return fleet;
}

function listVms(fleet: SimulatedFleet): SimulatedVm[] {
  return [...fleet.vms.values()];
}

/** Returns a VM that is no scheduler, and the one that schedules for it. */
function findMember(fleet: SimulatedFleet): [SimulatedVm, SimulatedVm] {
  for (const member of listVms(fleet)) {
    const scheduler = fleet.vms.get(member.fleet.scheduler ?? "");
    if (scheduler !== undefined) {
      return [member, scheduler];
    }
  }
  throw new Error("No VM has its requests scheduled by another one");
}

/** Sums the attempts that a scheduler believes to run. */
function sumRunning(vm: SimulatedVm): number {
  let running = 0;
  for (const scheduler of vm.services.listSchedulers()) {
    for (const endpoint of scheduler.listEndpoints()) {
      running += endpoint.running;
    }
  }
  return running;
}

describe("fail-over of schedulers", () => {
  it("a member's request is granted by its scheduler within its queue", async () => {
    const fleet = await startFleet({ seed: 1 });
    const [member, scheduler] = findMember(fleet);
    const load = new SimulatedLoad(fleet.clock);
    void load.submit(member);
    await fleet.clock.advance(20);
    expect(load.decisions[0]?.endpoint).to.be.a("string");
    expect(sumRunning(scheduler)).to.equal(1);
    await fleet.clock.advance(400);
    expect(sumRunning(scheduler)).to.equal(0);
    fleet.stop();
  });

  it("no scheduler grants an endpoint of which a member learned that it shuts down", async () => {
    const fleet = await startFleet({ seed: 7 });
    const [member, scheduler] = findMember(fleet);
    const load = new SimulatedLoad(fleet.clock);
    fleet.store.isDown = true;
    const leaving = ["endpoint-0", "endpoint-1", "endpoint-2"];
    for (const endpoint of leaving) {
      member.state.directory.recordDeparture({ endpoint });
    }
    await fleet.clock.advance(400);
    const others = listVms(fleet).filter((vm) => vm !== member);
    for (let request = 0; request < 20; request++) {
      for (const vm of [member, scheduler, ...others.slice(0, 10)]) {
        void load.submit(vm);
      }
      await fleet.clock.advance(50);
    }
    await fleet.clock.advance(500);
    const used = new Set(load.decisions.map(({ endpoint }) => endpoint));
    expect(load.decisions).to.have.lengthOf(240);
    expect(used).to.not.include.members([undefined]);
    for (const endpoint of leaving) {
      expect(used.has(endpoint)).to.equal(false);
    }
    fleet.stop();
  });

  it("a member's request gets no endpoint that asked the member for a pause (seed 8)", async () => {
    const fleet = await startFleet({ seed: 8 });
    const [member] = findMember(fleet);
    const all = Array.from({ length: ENDPOINTS }, (_, i) => `endpoint-${i}`);
    const excluded = new Set(all.slice(1));
    for (let request = 0; request < 10; request++) {
      const decision = member.fleet.admission.submit(
        {
          call: buildCall(member.clock.now()),
          avoid: new Set(),
          excluded,
          isRepeated: false,
        },
        member.lifetime.signal,
      );
      await fleet.clock.advance(50);
      expect((await decision).grant?.endpoint.id).to.equal(all[0]);
    }
    fleet.stop();
  });

  const failures: [string, (f: SimulatedFleet, vm: SimulatedVm) => void][] = [
    ["killed", (fleet, vm) => fleet.kill(vm)],
    ["frozen", (_, vm) => vm.clock.freeze()],
    [
      "cut off",
      (fleet, vm) => fleet.network.partition([vm.contact.vm], 1),
    ],
    [
      "slowed to a second a message",
      (fleet, vm) => fleet.network.slowDown(vm.contact.vm, 1_000),
    ],
  ];
  for (const [name, fail] of failures) {
    it(`requests go on within 300 ms when their scheduler is ${name}`, async () => {
      const fleet = await startFleet({ seed: 2 });
      const [member, scheduler] = findMember(fleet);
      fail(fleet, scheduler);
      const load = new SimulatedLoad(fleet.clock);
      for (let request = 0; request < 20; request++) {
        void load.submit(member);
        await fleet.clock.advance(200);
      }
      await fleet.clock.advance(1_000);
      expect(load.pending).to.equal(0);
      const late = load.decisions.filter(({ submittedAt, decidedAt }) =>
        decidedAt - submittedAt > 300
      );
      expect(late).to.have.lengthOf(0);
      const granted = load.decisions.filter(({ endpoint }) =>
        endpoint !== undefined
      );
      expect(granted).to.have.lengthOf(20);
      fleet.stop();
    });
  }

  it("a scheduler that wakes after a freeze holds no capacity for what is over", async () => {
    const fleet = await startFleet({ seed: 3 });
    const [member, scheduler] = findMember(fleet);
    const load = new SimulatedLoad(fleet.clock);
    scheduler.clock.freeze();
    for (let request = 0; request < 10; request++) {
      void load.submit(member);
      await fleet.clock.advance(100);
    }
    await fleet.clock.advance(2_000);
    scheduler.clock.thaw();
    await fleet.clock.advance(2_000);
    expect(load.decisions).to.have.lengthOf(10);
    expect(sumRunning(scheduler)).to.equal(0);
    fleet.stop();
  });

  it("the attempts of a member that died are released", async () => {
    const fleet = await startFleet({ seed: 4 });
    const [member, scheduler] = findMember(fleet);
    const load = new SimulatedLoad(fleet.clock, 60_000);
    for (let request = 0; request < 5; request++) {
      void load.submit(member);
    }
    await fleet.clock.advance(50);
    expect(sumRunning(scheduler)).to.equal(5);
    fleet.kill(member);
    await fleet.clock.advance(3_000);
    expect(sumRunning(scheduler)).to.equal(0);
    fleet.stop();
  });

  it("a scheduler learns of the running attempts of a member that comes to it", async () => {
    const fleet = await startFleet({ seed: 5 });
    const [member, scheduler] = findMember(fleet);
    const load = new SimulatedLoad(fleet.clock, 4_000);
    for (let request = 0; request < 5; request++) {
      void load.submit(member);
    }
    await fleet.clock.advance(50);
    fleet.kill(scheduler);
    await fleet.clock.advance(1_500);
    const successor = fleet.vms.get(member.fleet.scheduler ?? "");
    expect(successor).to.not.equal(undefined);
    expect(successor).to.not.equal(scheduler);
    expect(sumRunning(successor as SimulatedVm)).to.equal(5);
    await fleet.clock.advance(5_000);
    expect(sumRunning(successor as SimulatedVm)).to.equal(0);
    fleet.stop();
  });

  it("VMs that are each cut off from the others serve on, but nothing cold (seed 6)", async () => {
    for (const isCold of [false, true]) {
      const fleet = await startFleet({ seed: 6, isCold });
      const [member] = findMember(fleet);
      fleet.network.partition([member.contact.vm], 1);
      await fleet.clock.advance(6_000);
      const load = new SimulatedLoad(fleet.clock);
      for (let request = 0; request < 5; request++) {
        void load.submit(member);
        await fleet.clock.advance(1_000);
      }
      const granted = load.decisions.filter(({ endpoint }) =>
        endpoint !== undefined
      );
      expect(granted).to.have.lengthOf(isCold ? 0 : 5);
      fleet.stop();
    }
  });

  for (const seed of [11, 12, 13]) {
    it(`cold endpoints get no more than they bear while schedulers fail (seed ${seed})`, async () => {
      const fleet = await startFleet({ seed, isCold: true });
      const load = new SimulatedLoad(fleet.clock, 200);
      for (let step = 0; step < 60; step++) {
        for (const vm of listVms(fleet)) {
          void load.submit(vm);
        }
        await fleet.clock.advance(50);
        const schedulers = listVms(fleet).filter(({ fleet }) =>
          fleet.isScheduler
        );
        const victim = schedulers[step % schedulers.length] as SimulatedVm;
        if (step === 10 || step === 14) {
          fleet.kill(victim);
        }
        if (step === 20) {
          victim.clock.freeze();
        }
        if (step === 40) {
          listVms(fleet).forEach(({ clock }) => clock.thaw());
          fleet.network.partition(
            listVms(fleet).filter((vm) => vm.contact.zone === "zone-0").map(
              (vm) => vm.contact.vm,
            ),
            1,
          );
        }
      }
      await fleet.clock.advance(1_000);
      const granted = load.decisions.filter(({ endpoint }) =>
        endpoint !== undefined
      );
      expect(granted).to.not.have.lengthOf(0);
      for (const { endpoint, decidedAt } of granted) {
        const inSecond = granted.filter((other) =>
          other.endpoint === endpoint && other.decidedAt >= decidedAt &&
          other.decidedAt < decidedAt + 1_000
        );
        expect(inSecond.length).to.be.at.most(COLD_BOUND);
      }
      fleet.stop();
    });
  }
});
