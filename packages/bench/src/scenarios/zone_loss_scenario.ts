/** Service while an availability zone leaves and returns. */

import { runCommandLine } from "../demo/command_line.ts";
import { runClosedLoop } from "../load/load_loops.ts";
import { LoadTally } from "../load/load_tally.ts";
import {
  type BenchFleet,
  ENGINE_SLOTS,
  type EntryPoint,
  startBenchFleet,
} from "./bench_fleet.ts";
import { computeMean, type Figure, TargetKind } from "./figure.ts";
import {
  ROUND_ROBIN_BASELINE,
  Scenario,
  type ScenarioOptions,
} from "./scenario.ts";
import { CallVerdict } from "../load/call_record.ts";

const TARGET = 0.95;
/** For each organisation in each zone. */
const CLIENTS_EACH = 14;
const WARM_UP_MILLISECONDS = 6000;
const MILLISECONDS_PER_SECOND = 1000;
const AFTER_SECONDS = 10;
const AFTER_MILLISECONDS = AFTER_SECONDS * MILLISECONDS_PER_SECOND;
const IN_FORCE_MILLISECONDS = 3000;
const AWAY_MILLISECONDS = IN_FORCE_MILLISECONDS + AFTER_MILLISECONDS;
const SETTLE_MILLISECONDS = 1000;

/** What one phase came to; service as a fraction of the slots. */
interface Phase {
  /** Second by second. */
  left: readonly number[];
  /** Of the zone that left, by its own callers. */
  inside: readonly number[];
  returned: readonly number[];
  startedAway: number;
  failed: number;
}

interface PhaseOptions extends ScenarioOptions {
  entries: readonly EntryPoint[];
  leave: (zone: string) => Promise<void>;
  comeBack: (zone: string) => Promise<void>;
}

/** A zone is taken out and brought back while work waits. */
abstract class ZoneLossScenario extends Scenario {
  override readonly baseline = ROUND_ROBIN_BASELINE;
  protected abstract readonly proxied: boolean;

  /** What the zone itself is expected to do while it is away. */
  protected abstract buildInsideFigures(
    product: Phase,
    baseline: Phase,
  ): Figure[];

  /** Takes the zone away from the routers. */
  protected abstract leave(
    bench: BenchFleet,
    zone: string,
    signal: AbortSignal,
  ): Promise<void>;

  /** Brings the zone back. */
  protected abstract comeBack(
    bench: BenchFleet,
    zone: string,
    signal: AbortSignal,
  ): Promise<void>;

  /** Takes the zone away from the baseline's routers. */
  protected abstract updateBaseline(
    bench: BenchFleet,
    drained: readonly string[],
    signal: AbortSignal,
  ): Promise<void>;

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const changes = { seed, proxied: this.proxied };
    const bench = await startBenchFleet({ clock, changes }, signal);
    try {
      const product = await measurePhase(bench, {
        ...options,
        entries: bench.listRouters(),
        leave: (zone) => this.leave(bench, zone, signal),
        comeBack: (zone) => this.comeBack(bench, zone, signal),
      }, signal);
      const baseline = await measurePhase(bench, {
        ...options,
        entries: await bench.startBaseline(),
        leave: (zone) => this.updateBaseline(bench, [zone], signal),
        comeBack: () => this.updateBaseline(bench, [], signal),
      }, signal);
      const inside = this.buildInsideFigures(product, baseline);
      return buildFigures(product, baseline, inside);
    } finally {
      await bench.stop();
    }
  }
}

/** An operator drains a zone and returns it. */
export class ZoneDrainScenario extends ZoneLossScenario {
  override readonly name = "zone-drain";
  override readonly description =
    "service while a zone is drained and returns, callers at all VMs";
  protected override readonly proxied = false;

  protected override buildInsideFigures(
    product: Phase,
    baseline: Phase,
  ): Figure[] {
    return [{
      name: "requests started in it from 3 s on",
      unit: "requests",
      value: product.startedAway,
      baseline: baseline.startedAway,
      target: { kind: TargetKind.AtMost, value: 0 },
    }];
  }

  protected override async leave(
    bench: BenchFleet,
    zone: string,
    signal: AbortSignal,
  ): Promise<void> {
    const platformUrl = bench.fleet.parts.platform.url;
    await runCommandLine(["zone", "drain", zone], { platformUrl }, signal);
  }

  protected override async comeBack(
    bench: BenchFleet,
    zone: string,
    signal: AbortSignal,
  ): Promise<void> {
    const platformUrl = bench.fleet.parts.platform.url;
    await runCommandLine(["zone", "return", zone], { platformUrl }, signal);
  }

  protected override async updateBaseline(
    bench: BenchFleet,
    drained: readonly string[],
  ): Promise<void> {
    await bench.updateBaselineZones(drained);
  }
}

/** A zone is cut off from the others and from the platform. */
export class ZoneCutScenario extends ZoneLossScenario {
  override readonly name = "zone-cut";
  override readonly description =
    "service inside and outside while a zone is cut off and rejoins";
  protected override readonly proxied = true;

  protected override buildInsideFigures(
    product: Phase,
    baseline: Phase,
  ): Figure[] {
    return [{
      name: "slots used in it by its own callers, 10 s after the cut",
      unit: "fraction",
      value: computeMean(product.inside),
      baseline: computeMean(baseline.inside),
      target: { kind: TargetKind.AtLeast, value: TARGET },
    }, {
      name: "the worst second of these",
      unit: "fraction",
      value: Math.min(...product.inside),
      baseline: Math.min(...baseline.inside),
    }];
  }

  protected override async leave(
    bench: BenchFleet,
    zone: string,
  ): Promise<void> {
    await bench.fleet.parts.network.cutOffZone(zone);
  }

  protected override async comeBack(bench: BenchFleet): Promise<void> {
    await bench.fleet.parts.network.heal();
  }

  protected override async updateBaseline(
    bench: BenchFleet,
    drained: readonly string[],
  ): Promise<void> {
    const { network } = bench.fleet.parts;
    const [zone] = drained;
    await (zone === undefined ? network.heal() : network.cutOffZone(zone));
  }
}

function buildFigures(
  product: Phase,
  baseline: Phase,
  others: readonly Figure[],
): Figure[] {
  const atLeast = { kind: TargetKind.AtLeast, value: TARGET };
  const none = { kind: TargetKind.AtMost, value: 0 };
  return [
    {
      name: "slots used elsewhere, 10 s after it left",
      unit: "fraction",
      value: computeMean(product.left),
      baseline: computeMean(baseline.left),
      target: atLeast,
    },
    {
      name: "the worst second of these",
      unit: "fraction",
      value: Math.min(...product.left),
      baseline: Math.min(...baseline.left),
    },
    ...others,
    {
      name: "slots used everywhere, 10 s after it returned",
      unit: "fraction",
      value: computeMean(product.returned),
      baseline: computeMean(baseline.returned),
      target: atLeast,
    },
    {
      name: "the worst second of these",
      unit: "fraction",
      value: Math.min(...product.returned),
      baseline: Math.min(...baseline.returned),
    },
    {
      name: "calls without a whole answer",
      unit: "calls",
      value: product.failed,
      baseline: baseline.failed,
      target: none,
    },
  ];
}

async function measurePhase(
  bench: BenchFleet,
  options: PhaseOptions,
  signal: AbortSignal,
): Promise<Phase> {
  const { clock, seed, entries, leave, comeBack } = options;
  const { zones } = bench.fleet.parts.options;
  const zone = zones[1] ?? "";
  const staying = zones.filter((each) => each !== zone);
  const tally = new LoadTally();
  const load = startLoad(bench, {
    clock,
    seed,
    tally,
    entries,
  }, signal);
  await clock.sleep(WARM_UP_MILLISECONDS, signal);
  await leave(zone);
  const left = measureUse(bench, staying, signal);
  const inside = measureUse(bench, [zone], signal);
  await clock.sleep(IN_FORCE_MILLISECONDS, signal);
  const before = await bench.countStarted([zone]);
  const leftUse = await left;
  await clock.sleep(AWAY_MILLISECONDS - AFTER_MILLISECONDS, signal);
  const startedAway = await bench.countStarted([zone]) - before;
  await comeBack(zone);
  const returned = await measureUse(bench, zones, signal);
  await load;
  return {
    left: leftUse,
    inside: await inside,
    returned,
    startedAway,
    failed: tally.records.length - tally.count(CallVerdict.Whole),
  };
}

/** Keeps both organisations backlogged in every zone, by its own VMs. */
async function startLoad(
  bench: BenchFleet,
  options: {
    clock: ScenarioOptions["clock"];
    seed: number;
    tally: LoadTally;
    entries: readonly EntryPoint[];
  },
  signal: AbortSignal,
): Promise<void> {
  const durationMilliseconds = WARM_UP_MILLISECONDS + AWAY_MILLISECONDS +
    AFTER_MILLISECONDS + SETTLE_MILLISECONDS;
  const { zones, organisations } = bench.fleet.parts.options;
  const loops = zones.flatMap((zone) => {
    const urls = options.entries.filter((entry) => entry.zone === zone)
      .map(({ url }) => url);
    return organisations.map((organisation) =>
      runClosedLoop(
        bench.createSource(organisation, { urls }),
        { ...options, durationMilliseconds, clients: CLIENTS_EACH },
        signal,
      )
    );
  });
  await Promise.all(loops);
}

/** Slot time used in each of the next ten seconds. */
async function measureUse(
  bench: BenchFleet,
  zones: readonly string[],
  signal: AbortSignal,
): Promise<number[]> {
  const slots = ENGINE_SLOTS * bench.fleet.parts.engines
    .filter((engine) => zones.includes(engine.zone)).length;
  const seconds: number[] = [];
  let from = bench.clock.now();
  let before = await bench.readSlotMilliseconds(zones);
  for (let index = 0; index < AFTER_SECONDS; index++) {
    await bench.clock.sleep(MILLISECONDS_PER_SECOND, signal);
    const used = await bench.readSlotMilliseconds(zones);
    const now = bench.clock.now();
    seconds.push((used - before) / (slots * (now - from)));
    before = used;
    from = now;
  }
  return seconds;
}
