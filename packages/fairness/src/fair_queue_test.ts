import { expect } from "chai";
import fc from "fast-check";
import { describe, it } from "mocha";
import { ManualClock, RandomSource } from "@rattanvane/base";
import {
  type Charge,
  DEFAULT_FAIR_QUEUE_SETTINGS,
  FairQueue,
  PickVerdict,
} from "./fair_queue.ts";
import { computeGapBound } from "./gap_bound.ts";

interface TestEntry {
  request: string;
  organisation: string;
  waitingSince: number;
  cost: number;
}

function createQueue(
  weights: ReadonlyMap<string, number> = new Map(),
  clock = new ManualClock(),
): FairQueue<TestEntry> {
  return new FairQueue<TestEntry>({
    settings: DEFAULT_FAIR_QUEUE_SETTINGS,
    clock,
    findWeight: (organisation) => weights.get(organisation) ?? 1,
  });
}

function addEntries(
  queue: FairQueue<TestEntry>,
  options: { organisation: string; count: number; cost?: number },
): void {
  const { organisation, count, cost = 1 } = options;
  const first = queue.countWaiting(organisation);
  for (let index = 0; index < count; index++) {
    const request = `${organisation}${first + index}`;
    queue.add({ request, organisation, waitingSince: 0, cost });
  }
}

function removeNext(queue: FairQueue<TestEntry>): TestEntry | undefined {
  const entry = queue.pick(() => PickVerdict.Take);
  return entry === undefined ? undefined : queue.remove(entry.request);
}

interface Tenant {
  organisation: string;
  weight: number;
  /** Number of requests that are kept waiting. */
  backlog: number;
  largestCost: number;
  /** Cost that each attempt is charged at its start. */
  estimate: number;
}

interface SimulationOptions {
  tenants: readonly [Tenant, Tenant];
  slots: number;
  steps: number;
  seed: number;
  /** Whether cost is charged while an attempt runs, or only at its end. */
  progress: boolean;
}

interface Running {
  charge: Charge;
  cost: number;
  done: number;
}

/**
 * Simulates slots that give one cost unit per step; returns by how much the
 * difference in normalised service between the two organisations varied.
 */
function measureGap(options: SimulationOptions): number {
  const { tenants, progress } = options;
  const random = new RandomSource(options.seed);
  const queue = createQueue(
    new Map(tenants.map(({ organisation, weight }) => [organisation, weight])),
  );
  const service = [0, 0];
  let running: Running[] = [];
  let nextRequest = 0;
  let lowestLead = 0;
  let highestLead = 0;
  for (let step = 0; step < options.steps; step++) {
    while (running.length < options.slots) {
      for (const { organisation, backlog, largestCost } of tenants) {
        while (queue.countWaiting(organisation) < backlog) {
          const cost = random.nextInteger(1, largestCost);
          queue.add({
            request: `r${nextRequest++}`,
            organisation,
            waitingSince: step,
            cost,
          });
        }
      }
      const entry = removeNext(queue) as TestEntry;
      const tenant = findTenant(tenants, entry.organisation);
      const charge = queue.charge(entry.organisation, tenant.estimate);
      running.push({ charge, cost: entry.cost, done: 0 });
    }
    for (const attempt of running) {
      attempt.done++;
      const isFirst = attempt.charge.organisation === tenants[0].organisation;
      service[isFirst ? 0 : 1]! += 1;
      if (progress && attempt.done > attempt.charge.amount) {
        queue.updateCharge(attempt.charge, attempt.done);
      }
      if (attempt.done === attempt.cost) {
        queue.updateCharge(attempt.charge, attempt.cost);
      }
    }
    running = running.filter((attempt) => attempt.done < attempt.cost);
    const lead = service[0]! / tenants[0].weight -
      service[1]! / tenants[1].weight;
    lowestLead = Math.min(lowestLead, lead);
    highestLead = Math.max(highestLead, lead);
  }
  return highestLead - lowestLead;
}

function findTenant(tenants: readonly Tenant[], name: string): Tenant {
  return tenants.find((tenant) => tenant.organisation === name) as Tenant;
}

function computeBound(options: SimulationOptions): number {
  const { tenants, slots } = options;
  const largestCost = Math.max(...tenants.map((tenant) => tenant.largestCost));
  return computeGapBound({
    slots,
    largestCost,
    largestEstimate: Math.max(...tenants.map((tenant) => tenant.estimate)),
    lowestWeight: Math.min(...tenants.map((tenant) => tenant.weight)),
    serviceRate: slots,
    delaySeconds: options.progress ? 1 : largestCost,
    rebalanceThreshold: 0,
  });
}

function createTenantArbitrary(organisation: string): fc.Arbitrary<Tenant> {
  return fc.record({
    organisation: fc.constant(organisation),
    weight: fc.constantFrom(0.1, 1, 2, 10),
    backlog: fc.constantFrom(2, 3, 300),
    largestCost: fc.integer({ min: 1, max: 60 }),
    estimate: fc.constantFrom(1, 10, 60, 200),
  });
}

describe("FairQueue", () => {
  it("keeps the gap within its bound for any costs and estimates", () => {
    const property = fc.property(
      fc.record({
        tenants: fc.tuple(
          createTenantArbitrary("flood"),
          createTenantArbitrary("quiet"),
        ),
        slots: fc.integer({ min: 1, max: 12 }),
        steps: fc.constant(4000),
        seed: fc.integer({ min: 1, max: 1e6 }),
        progress: fc.boolean(),
      }),
      (options) => measureGap(options) <= computeBound(options),
    );
    fc.assert(property, { seed: 20261, numRuns: 60 });
  });

  it("gives no more service to a hundred times as many requests", () => {
    const gap = measureGap({
      tenants: [
        {
          organisation: "flood",
          weight: 1,
          backlog: 300,
          largestCost: 20,
          estimate: 10,
        },
        {
          organisation: "quiet",
          weight: 1,
          backlog: 3,
          largestCost: 20,
          estimate: 10,
        },
      ],
      slots: 4,
      steps: 20_000,
      seed: 3,
      progress: true,
    });
    expect(gap).to.be.below(160);
  });

  it("serves an organisation's entries in order of arrival", () => {
    const queue = createQueue();
    addEntries(queue, { organisation: "a", count: 5 });
    queue.remove("a2");
    const order = [];
    for (let entry = removeNext(queue); entry; entry = removeNext(queue)) {
      order.push(entry.request);
    }
    expect(order).to.deep.equal(["a0", "a1", "a3", "a4"]);
  });

  it("sorts entries that are added out of order by their waiting time", () => {
    const queue = createQueue();
    for (const waitingSince of [5, 6, 9, 7, 1, 9, 6]) {
      const request = `a${queue.size}`;
      queue.add({ request, organisation: "a", waitingSince, cost: 1 });
    }
    const order = [];
    for (let entry = removeNext(queue); entry; entry = removeNext(queue)) {
      order.push(entry.request);
    }
    expect(order).to.deep.equal(["a4", "a0", "a1", "a6", "a3", "a2", "a5"]);
  });

  it("lifts an idle organisation to virtual time, without credit or debt", () => {
    const queue = createQueue();
    addEntries(queue, { organisation: "busy", count: 20 });
    for (let round = 0; round < 10; round++) {
      const entry = removeNext(queue) as TestEntry;
      queue.charge(entry.organisation, 100);
    }
    addEntries(queue, { organisation: "late", count: 3 });
    expect(queue.findCounter("late")).to.equal(queue.findCounter("busy"));
  });

  it("keeps the virtual time while the queue is empty", () => {
    const queue = createQueue();
    for (let round = 0; round < 10; round++) {
      addEntries(queue, { organisation: "busy", count: 1 });
      removeNext(queue);
      queue.charge("busy", 100);
    }
    addEntries(queue, { organisation: "late", count: 1 });
    expect(queue.findCounter("late")).to.equal(900);
  });

  it("skips entries that cannot be placed, up to the look-ahead", () => {
    const queue = createQueue();
    addEntries(queue, { organisation: "a", count: 100 });
    addEntries(queue, { organisation: "b", count: 1 });
    const judged: string[] = [];
    const picked = queue.pick((entry) => {
      judged.push(entry.request);
      return entry.organisation === "a" ? PickVerdict.Skip : PickVerdict.Take;
    });
    expect(picked?.request).to.equal("b0");
    expect(judged).to.have.lengthOf(9);
    expect(removeNext(queue)?.request).to.equal("a0");
  });

  it("corrects a charge at the weight that applied at its grant", () => {
    const weights = new Map([["a", 2]]);
    const queue = createQueue(weights);
    const charge = queue.charge("a", 100);
    weights.set("a", 10);
    queue.updateCharge(charge, 40);
    expect(queue.findCounter("a")).to.equal(20);
    queue.charge("a", 100);
    expect(queue.findCounter("a")).to.equal(30);
  });

  it("caps only debt that accumulated during a network partition", () => {
    const { debtCap } = DEFAULT_FAIR_QUEUE_SETTINGS;
    const differences = [{ organisation: "a", service: 10 * debtCap }];
    const queue = createQueue();
    addEntries(queue, { organisation: "b", count: 1 });
    queue.applyRemoteService(differences, { capDebt: true });
    expect(queue.findCounter("a")).to.equal(debtCap);
    queue.applyRemoteService(differences, { capDebt: false });
    expect(queue.findCounter("a")).to.equal(11 * debtCap);
  });

  it("treats an organisation as idle only after the grace period", async () => {
    const clock = new ManualClock();
    const queue = createQueue(new Map(), clock);
    const { idleGraceMilliseconds } = DEFAULT_FAIR_QUEUE_SETTINGS;
    for (const expected of [0, 500]) {
      addEntries(queue, { organisation: "loop", count: 1 });
      expect(queue.findCounter("loop")).to.equal(expected);
      addEntries(queue, { organisation: "busy", count: 1 });
      queue.charge("busy", 500);
      queue.remove("loop0");
      await clock.advance(idleGraceMilliseconds);
      addEntries(queue, { organisation: "loop", count: 1 });
      expect(queue.findCounter("loop")).to.equal(expected);
      queue.remove("loop0");
      await clock.advance(idleGraceMilliseconds + 1);
    }
  });

  it("lifts no further than the counter reached at another pool", () => {
    const queue = createQueue();
    addEntries(queue, { organisation: "busy", count: 1 });
    queue.charge("busy", 500);
    const moved = { request: "m", organisation: "moved", waitingSince: 0 };
    queue.add({ ...moved, cost: 1 }, 300);
    expect(queue.findCounter("moved")).to.equal(300);
  });

  it("reports each changed total once", () => {
    const queue = createQueue();
    const charge = queue.charge("a", 5);
    queue.updateCharge(charge, 7);
    queue.applyRemoteService([{ organisation: "b", service: 4 }], {
      capDebt: false,
    });
    expect(queue.collectChangedTotals()).to.deep.equal([
      { organisation: "a", service: 7 },
    ]);
    expect(queue.collectChangedTotals()).to.deep.equal([]);
  });
});
