import { computeGapBound } from "@rattanvane/fairness";
import { expect } from "chai";
import { describe, it } from "mocha";
import { COUNTER_BYTES_A_SECOND } from "./counter_pace.ts";
import { DEFAULT_POOL_SCHEDULER_SETTINGS } from "./settings.ts";
import { PoolWorld, type PoolWorldOptions } from "./testing/pool_world.ts";

interface TenantOptions {
  organisation: string;
  vm: string;
  /** Requests that are kept waiting there. */
  backlog: number;
  lowestCost: number;
  highestCost: number;
  hint?: number;
}

interface MeasureOptions {
  tenants: TenantOptions[];
  weights?: number[];
  before?: () => void;
}

interface Measured {
  gap: number;
  served: number[];
  /** The widest lead of a virtual time after it had time to settle. */
  lead: number;
}

function computeLead(world: PoolWorld): number {
  const [first, second] = world.schedulers.map(({ scheduler }) =>
    scheduler.describeStatus().virtualTime
  );
  return Math.abs((first ?? 0) - (second ?? 0));
}

/** Keeps every tenant backlogged; returns the widest normalised gap. */
async function measureGap(
  world: PoolWorld,
  options: MeasureOptions,
): Promise<Measured> {
  const { tenants } = options;
  const startedAt = world.clock.now();
  let widestLead = 0;
  const names = [...new Set(tenants.map(({ organisation }) => organisation))];
  const starts = names.map((name) => world.service.get(name) ?? 0);
  let lowest = 0;
  let highest = 0;
  await world.run(SECONDS * 1000, () => {
    options.before?.();
    if (world.clock.now() - startedAt >= SETTLED_MILLISECONDS) {
      widestLead = Math.max(widestLead, computeLead(world));
    }
    for (const tenant of tenants) {
      addBacklog(world, tenant);
    }
    const served = names.map((name, index) =>
      ((world.service.get(name) ?? 0) - (starts[index] as number)) /
      (options.weights?.[index] ?? 1)
    );
    const lead = (served[0] as number) - (served[1] as number);
    lowest = Math.min(lowest, lead);
    highest = Math.max(highest, lead);
  });
  const served = names.map((name, index) =>
    (world.service.get(name) ?? 0) - (starts[index] as number)
  );
  return { gap: highest - lowest, served, lead: widestLead };
}

function addBacklog(world: PoolWorld, tenant: TenantOptions): void {
  const { vm, organisation } = tenant;
  for (
    let missing = tenant.backlog - world.countWaiting(vm, organisation);
    missing > 0;
    missing--
  ) {
    const cost = world.random.nextInteger(
      tenant.lowestCost,
      tenant.highestCost,
    );
    world.addRequest({ vm, organisation, cost, hint: tenant.hint ?? 0 });
  }
}

function createWorld(options: Partial<PoolWorldOptions> = {}): PoolWorld {
  const world = new PoolWorld({
    seed: 17,
    zones: [
      { zone: "z1", vms: 2, endpoints: 2 },
      { zone: "z2", vms: 2, endpoints: 2 },
    ],
    ...options,
  });
  world.startScheduler("z1-vm0");
  world.startScheduler("z2-vm0");
  return world;
}

/** How far one zone's virtual time may lead the other's once it settled. */
const LARGEST_LEAD = 10_000;

/** When virtual times must have settled after a start or a cut. */
const SETTLED_MILLISECONDS = 4000;

const LOWEST_COST = 100;
const HIGHEST_COST = 2000;
const SLOTS = 16;
const SECONDS = 20;

/** Period of progress, exchange, delivery and idle grace, in seconds. */
const PERIOD_SECONDS = 0.5;
const DELAY_SECONDS = 0.1 + PERIOD_SECONDS + 0.02 + 0.5;

/** The period of 25 organisations a message and four siblings. */
const STRETCHED_SECONDS = 1;

/** Names of which a message with two totals and the lowest weighs as much. */
const LONG_NAME_LENGTH = STRETCHED_SECONDS * COUNTER_BYTES_A_SECOND / 3;

function createFlood(vm: string, hint = 0): TenantOptions {
  return createTenant({ organisation: "flood", vm, backlog: 300, hint });
}

function createQuiet(vm: string, hint = 0): TenantOptions {
  return createTenant({ organisation: "quiet", vm, backlog: 3, hint });
}

function createTenant(
  options: Omit<TenantOptions, "lowestCost" | "highestCost">,
): TenantOptions {
  return { ...options, lowestCost: LOWEST_COST, highestCost: HIGHEST_COST };
}

/** The formula of docs/design/fairness.md for the worlds of these tests. */
function computeBound(
  lowestWeight = 1,
  delaySeconds = DELAY_SECONDS,
): number {
  return computeGapBound({
    slots: SLOTS,
    largestCost: HIGHEST_COST,
    largestEstimate: HIGHEST_COST,
    lowestWeight,
    serviceRate: SLOTS * 1000,
    delaySeconds,
    rebalanceThreshold: DEFAULT_POOL_SCHEDULER_SETTINGS.rebalanceThreshold,
  });
}

interface Case {
  title: string;
  tenants: TenantOptions[];
}

const BOTH_ZONES = [
  createFlood("z1-vm0"),
  createFlood("z2-vm0"),
  createQuiet("z1-vm1"),
  createQuiet("z2-vm1"),
];

const CASES: Case[] = [
  { title: "both wait in both zones", tenants: BOTH_ZONES },
  {
    title: "the quiet one waits in one zone only",
    tenants: [
      createFlood("z1-vm0"),
      createFlood("z2-vm0"),
      createQuiet("z1-vm1"),
    ],
  },
  {
    title: "each waits in a zone of its own",
    tenants: [createFlood("z1-vm0"), createQuiet("z2-vm1")],
  },
  {
    title: "the flood's hints are too low",
    tenants: [
      createFlood("z1-vm0", 1),
      createFlood("z2-vm0", 1),
      createQuiet("z1-vm1"),
      createQuiet("z2-vm1", 1e9),
    ],
  },
];

describe("PoolScheduler fairness", () => {
  for (const { title, tenants } of CASES) {
    it(`keeps the gap within the bound where ${title}`, async () => {
      for (const seed of [1, 2, 3]) {
        const world = createWorld({ seed });
        const { gap, served } = await measureGap(world, { tenants });
        expect(gap, `seed ${seed}`).to.be.below(computeBound());
        checkAlike(served);
      }
    });
  }

  it("keeps the gap within the bound of a stretched exchange", async () => {
    const delay = DELAY_SECONDS - PERIOD_SECONDS + STRETCHED_SECONDS;
    for (const { title, tenants: short } of CASES) {
      const world = createWorld({ seed: 1 });
      const tenants = short.map((tenant) => ({
        ...tenant,
        organisation: tenant.organisation.padEnd(LONG_NAME_LENGTH, "x"),
      }));
      const { gap } = await measureGap(world, { tenants });
      expect(gap, title).to.be.below(computeBound(1, delay));
    }
  });

  it("keeps to the weights and starves no small one", async () => {
    const weights = { flood: 10, quiet: 0.5 };
    const world = createWorld({ weights });
    const options = { tenants: BOTH_ZONES, weights: [10, 0.5] };
    const { gap, served } = await measureGap(world, options);
    expect(gap).to.be.below(computeBound(0.5));
    checkAlike([served[0]! / 10, served[1]! / 0.5]);
  });

  it("keeps the gap within the bound over a scheduler's death", async () => {
    const world = createWorld();
    const { gap, served } = await measureGap(world, {
      tenants: BOTH_ZONES,
      before: createOnce(world, 8000, () => {
        world.stopScheduler(world.schedulers[0]!);
        world.startScheduler("z1-vm1");
      }),
    });
    expect(gap).to.be.below(computeBound());
    checkAlike(served);
  });

  it("starts no scheduler behind the other zones", async () => {
    const world = createWorld({ seed: 1 });
    const tenants = [
      createTenant({ organisation: "a", vm: "z1-vm0", backlog: 50 }),
      createTenant({ organisation: "b", vm: "z2-vm1", backlog: 50 }),
    ];
    await measureGap(world, { tenants });
    world.stopScheduler(world.schedulers[1]!);
    world.startScheduler("z2-vm1");
    const { served, lead } = await measureGap(world, { tenants });
    checkAlike(served);
    expect(lead).to.be.below(LARGEST_LEAD);
    expect(world.sumEndpoints(({ crashes }) => crashes)).to.equal(0);
  });

  it("serves everyone in a cut, and holds little against them", async () => {
    const world = createWorld({ seed: 2 });
    const tenants = [
      createFlood("z1-vm0"),
      createFlood("z2-vm0"),
      createQuiet("z2-vm1"),
    ];
    await measureGap(world, { tenants });
    world.network.cuts.add("z1|z2");
    const apart = await measureGap(world, { tenants });
    expect(apart.served[1]).to.be.above(SECONDS * 1000 * SLOTS / 4 * 0.9);
    world.network.cuts.clear();
    const rejoined = await measureGap(world, { tenants });
    expect(rejoined.gap).to.be.below(computeBound());
    checkAlike(rejoined.served);
    expect(rejoined.lead).to.be.below(LARGEST_LEAD);
  });
});

/** Two shares that differ by a tenth of their sum at most. */
function checkAlike(served: number[]): void {
  const [first, second] = served as [number, number];
  const difference = Math.abs(first - second);
  expect(difference / (first + second)).to.be.below(0.1);
}

function createOnce(
  world: PoolWorld,
  at: number,
  act: () => void,
): () => void {
  let isDone = false;
  return () => {
    if (!isDone && world.clock.now() >= at) {
      isDone = true;
      act();
    }
  };
}
