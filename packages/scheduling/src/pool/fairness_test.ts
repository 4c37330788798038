import { computeGapBound } from "@rattanvane/fairness";
import { expect } from "chai";
import { describe, it } from "mocha";
import { COUNTER_BYTES_PER_SECOND } from "./counter_send_schedule.ts";
import { DEFAULT_POOL_SCHEDULER_SETTINGS } from "./settings.ts";
import { PoolWorld, type PoolWorldOptions } from "./testing/pool_world.ts";

interface OrganisationOptions {
  organisation: string;
  vm: string;
  /** How many requests are kept waiting there. */
  backlog: number;
  lowestCost: number;
  highestCost: number;
  hint?: number;
}

interface MeasureOptions {
  tenants: OrganisationOptions[];
  weights?: number[];
  beforeStep?: () => void;
}

interface GapMeasurement {
  gap: number;
  served: number[];
  /** The widest gap between the zones' virtual times once they settled. */
  lead: number;
}

function computeVirtualLead(world: PoolWorld): number {
  const [first, second] = world.schedulers.map(({ scheduler }) =>
    scheduler.describeStatus().virtualTime
  );
  return Math.abs((first ?? 0) - (second ?? 0));
}

/** Keeps every tenant backlogged; measures the widest normalised gap. */
async function measureGap(
  world: PoolWorld,
  options: MeasureOptions,
): Promise<GapMeasurement> {
  const { tenants } = options;
  const startedAt = world.clock.now();
  let widestLead = 0;
  const names = [...new Set(tenants.map(({ organisation }) => organisation))];
  const initialService = names.map((name) => world.service.get(name) ?? 0);
  let lowest = 0;
  let highest = 0;
  await world.run(RUN_SECONDS * 1000, () => {
    options.beforeStep?.();
    if (world.clock.now() - startedAt >= SETTLING_MILLISECONDS) {
      widestLead = Math.max(widestLead, computeVirtualLead(world));
    }
    for (const tenant of tenants) {
      addBacklog(world, tenant);
    }
    const served = names.map((name, index) =>
      ((world.service.get(name) ?? 0) - (initialService[index] as number)) /
      (options.weights?.[index] ?? 1)
    );
    const lead = (served[0] as number) - (served[1] as number);
    lowest = Math.min(lowest, lead);
    highest = Math.max(highest, lead);
  });
  const served = names.map((name, index) =>
    (world.service.get(name) ?? 0) - (initialService[index] as number)
  );
  return { gap: highest - lowest, served, lead: widestLead };
}

function addBacklog(world: PoolWorld, tenant: OrganisationOptions): void {
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

/** The largest gap allowed between two zones' settled virtual times. */
const LARGEST_VIRTUAL_LEAD = 10_000;

/** The time in which virtual times must settle after a start or a partition. */
const SETTLING_MILLISECONDS = 4000;

const LOWEST_COST = 100;
const HIGHEST_COST = 2000;
const SLOTS = 16;
const RUN_SECONDS = 20;

/** Period of the counter exchange. */
const PERIOD_SECONDS = 0.5;

/** Sum of progress period, exchange period, delivery time and idle grace. */
const DELAY_SECONDS = 0.1 + PERIOD_SECONDS + 0.02 + 0.5;

/** Exchange period with 25 organisations per message and four siblings. */
const THROTTLED_PERIOD_SECONDS = 1;

/** Name length that makes a message with two totals and `lowest` as large. */
const LONG_NAME_LENGTH = THROTTLED_PERIOD_SECONDS * COUNTER_BYTES_PER_SECOND /
  3;

function createFloodTenant(vm: string, hint = 0): OrganisationOptions {
  return createTenant({ organisation: "flood", vm, backlog: 300, hint });
}

function createQuietTenant(vm: string, hint = 0): OrganisationOptions {
  return createTenant({ organisation: "quiet", vm, backlog: 3, hint });
}

function createTenant(
  options: Omit<OrganisationOptions, "lowestCost" | "highestCost">,
): OrganisationOptions {
  return { ...options, lowestCost: LOWEST_COST, highestCost: HIGHEST_COST };
}

/** The bound of docs/design/fairness.md with the parameters of these tests. */
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

interface FairnessCase {
  title: string;
  tenants: OrganisationOptions[];
}

const BOTH_ZONES = [
  createFloodTenant("z1-vm0"),
  createFloodTenant("z2-vm0"),
  createQuietTenant("z1-vm1"),
  createQuietTenant("z2-vm1"),
];

const CASES: FairnessCase[] = [
  { title: "both wait in both zones", tenants: BOTH_ZONES },
  {
    title: "the small organisation waits in one zone only",
    tenants: [
      createFloodTenant("z1-vm0"),
      createFloodTenant("z2-vm0"),
      createQuietTenant("z1-vm1"),
    ],
  },
  {
    title: "each waits in a separate zone",
    tenants: [createFloodTenant("z1-vm0"), createQuietTenant("z2-vm1")],
  },
  {
    title: "the flood's hints are too low",
    tenants: [
      createFloodTenant("z1-vm0", 1),
      createFloodTenant("z2-vm0", 1),
      createQuietTenant("z1-vm1"),
      createQuietTenant("z2-vm1", 1e9),
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
        checkEqualShares(served);
      }
    });
  }

  it("keeps the gap within the bound of a throttled exchange", async () => {
    const delay = DELAY_SECONDS - PERIOD_SECONDS + THROTTLED_PERIOD_SECONDS;
    for (const { title, tenants: shortNamed } of CASES) {
      const world = createWorld({ seed: 1 });
      const tenants = shortNamed.map((tenant) => ({
        ...tenant,
        organisation: tenant.organisation.padEnd(LONG_NAME_LENGTH, "x"),
      }));
      const { gap } = await measureGap(world, { tenants });
      expect(gap, title).to.be.below(computeBound(1, delay));
    }
  });

  it("follows the weights and starves no small organisation", async () => {
    const weights = { flood: 10, quiet: 0.5 };
    const world = createWorld({ weights });
    const options = { tenants: BOTH_ZONES, weights: [10, 0.5] };
    const { gap, served } = await measureGap(world, options);
    expect(gap).to.be.below(computeBound(0.5));
    checkEqualShares([served[0]! / 10, served[1]! / 0.5]);
  });

  it("keeps the gap within the bound when a scheduler dies", async () => {
    const world = createWorld();
    const { gap, served } = await measureGap(world, {
      tenants: BOTH_ZONES,
      beforeStep: createOneTimeAction(world, 8000, () => {
        world.stopScheduler(world.schedulers[0]!);
        world.startScheduler("z1-vm1");
      }),
    });
    expect(gap).to.be.below(computeBound());
    checkEqualShares(served);
  });

  it("starts no scheduler with a virtual time behind other zones", async () => {
    const world = createWorld({ seed: 1 });
    const tenants = [
      createTenant({ organisation: "a", vm: "z1-vm0", backlog: 50 }),
      createTenant({ organisation: "b", vm: "z2-vm1", backlog: 50 }),
    ];
    await measureGap(world, { tenants });
    world.stopScheduler(world.schedulers[1]!);
    world.startScheduler("z2-vm1");
    const { served, lead } = await measureGap(world, { tenants });
    checkEqualShares(served);
    expect(lead).to.be.below(LARGEST_VIRTUAL_LEAD);
    expect(world.sumEndpoints(({ crashes }) => crashes)).to.equal(0);
  });

  it("serves all organisations in a partition and caps the debt afterwards", async () => {
    const world = createWorld({ seed: 2 });
    const tenants = [
      createFloodTenant("z1-vm0"),
      createFloodTenant("z2-vm0"),
      createQuietTenant("z2-vm1"),
    ];
    await measureGap(world, { tenants });
    world.network.partitions.add("z1|z2");
    const partitioned = await measureGap(world, { tenants });
    expect(partitioned.served[1]).to.be.above(
      RUN_SECONDS * 1000 * SLOTS / 4 * 0.9,
    );
    world.network.partitions.clear();
    const rejoined = await measureGap(world, { tenants });
    expect(rejoined.gap).to.be.below(computeBound());
    checkEqualShares(rejoined.served);
    expect(rejoined.lead).to.be.below(LARGEST_VIRTUAL_LEAD);
  });
});

/** Checks that two shares differ by less than a tenth of their sum. */
function checkEqualShares(served: number[]): void {
  const [first, second] = served as [number, number];
  const difference = Math.abs(first - second);
  expect(difference / (first + second)).to.be.below(0.1);
}

function createOneTimeAction(
  world: PoolWorld,
  at: number,
  action: () => void,
): () => void {
  let isDone = false;
  return () => {
    if (!isDone && world.clock.now() >= at) {
      isDone = true;
      action();
    }
  };
}
