/** The gap between two backlogged organisations of equal weight. */

import { computeGapBound } from "@rattanvane/fairness";
import { HeaderName } from "@rattanvane/platform";
import { DEFAULT_POOL_SCHEDULER_SETTINGS } from "@rattanvane/scheduling";
import { createOrganisation } from "../fleet/fleet_options.ts";
import { LoadTally } from "../load/load_tally.ts";
import { runClosedLoop } from "../load/load_loops.ts";
import { ServiceMeter } from "../load/service_meter.ts";
import {
  type BenchFleet,
  ENGINE_SLOTS,
  type EntryPoint,
  startBenchFleet,
} from "./bench_fleet.ts";
import { type Figure, TargetKind } from "./figure.ts";
import {
  ROUND_ROBIN_BASELINE,
  Scenario,
  type ScenarioOptions,
} from "./scenario.ts";
import { computeLargestGap, type WindowGap } from "./windows.ts";

const SLICE_MILLISECONDS = 1000;
const WINDOW_SLICES = 10;
const WARM_UP_SLICES = 8;
const STEADY_CLIENTS = 20;
const FLOOD_FACTOR = 100;
const LARGEST_FRACTION = 0.1;
const LARGEST_TOKENS = 60;
const TOKENS_A_SLOT_SECOND = 50;
/** The router settings' default. */
const COUNTER_PERIOD_MILLISECONDS = 200;
const PROGRESS_SECONDS = 1;
const DELIVERY_SECONDS = 0.1;
const MILLISECONDS_PER_SECOND = 1000;
const STEADY = createOrganisation("bakery");
const FLOODING = createOrganisation("depot", { queueLimit: 10_000 });

/** One organisation at one VM, the other floods all VMs with lying hints. */
export class FairnessScenario extends Scenario {
  override readonly name = "fairness";
  override readonly description =
    "gap over 10 s windows; one of two organisations floods a hundredfold " +
    "and hints at a cost of 1";
  override readonly baseline = ROUND_ROBIN_BASELINE;

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const changes = { seed, organisations: [STEADY, FLOODING] };
    const bench = await startBenchFleet({ clock, changes }, signal);
    try {
      const product = await measurePhase(
        bench,
        { ...options, entries: bench.listRouters() },
        signal,
      );
      const baseline = await measurePhase(
        bench,
        { ...options, entries: await bench.startBaseline() },
        signal,
      );
      return buildFigures({ product, baseline, bound: computeBound(bench) });
    } finally {
      await bench.stop();
    }
  }
}

function buildFigures(
  { product, baseline, bound }: {
    product: WindowGap;
    baseline: WindowGap;
    bound: number;
  },
): Figure[] {
  return [
    {
      name: "largest gap in 10 s",
      unit: "tokens",
      value: product.gap,
      baseline: baseline.gap,
      target: {
        kind: TargetKind.AtMost,
        value: Math.max(bound, LARGEST_FRACTION * product.mean),
      },
    },
    {
      name: "the gap, of the two organisations' mean service",
      unit: "fraction",
      value: product.fraction,
      baseline: baseline.fraction,
    },
    {
      name: "mean service of the two in that window",
      unit: "tokens",
      value: product.mean,
      baseline: baseline.mean,
    },
  ];
}

/** The formula of docs/design/fairness.md with this fleet's figures. */
function computeBound(bench: BenchFleet): number {
  const settings = DEFAULT_POOL_SCHEDULER_SETTINGS;
  const slots = ENGINE_SLOTS * bench.fleet.parts.engines.length;
  const periods = COUNTER_PERIOD_MILLISECONDS +
    settings.fairness.idleGraceMilliseconds;
  return computeGapBound({
    slots,
    largestCost: LARGEST_TOKENS,
    largestEstimate: LARGEST_TOKENS,
    lowestWeight: 1,
    serviceRate: slots * TOKENS_A_SLOT_SECOND,
    delaySeconds: PROGRESS_SECONDS + DELIVERY_SECONDS +
      periods / MILLISECONDS_PER_SECOND,
    rebalanceThreshold: settings.rebalanceThreshold,
  });
}

async function measurePhase(
  bench: BenchFleet,
  options: ScenarioOptions & { entries: readonly EntryPoint[] },
  signal: AbortSignal,
): Promise<WindowGap> {
  const { clock, seed, seconds, entries } = options;
  const meter = new ServiceMeter({
    clock,
    sliceMilliseconds: SLICE_MILLISECONDS,
  });
  const slices = WARM_UP_SLICES + Math.max(seconds, WINDOW_SLICES);
  const load = {
    clock,
    seed,
    tally: new LoadTally(),
    durationMilliseconds: slices * SLICE_MILLISECONDS,
  };
  const [first, ...others] = entries.map(({ url }) => url);
  const steady = bench.createSource(STEADY, { urls: [first ?? ""], meter });
  const flooding = bench.createSource(FLOODING, {
    urls: others,
    meter,
    headers: { [HeaderName.CostHint]: "1" },
  });
  // The flood's waiting calls end with the phase.
  const phase = new AbortController();
  const ended = AbortSignal.any([phase.signal, signal]);
  const loops = Promise.all([
    runClosedLoop(steady, { ...load, clients: STEADY_CLIENTS }, ended),
    runClosedLoop(
      flooding,
      { ...load, clients: STEADY_CLIENTS * FLOOD_FACTOR },
      ended,
    ),
  ]);
  await clock.sleep(load.durationMilliseconds, signal);
  phase.abort();
  await loops;
  const listSlices = (organisation: string) =>
    Array.from(
      { length: slices - WARM_UP_SLICES },
      (_, index) =>
        meter.sum(organisation, {
          from: WARM_UP_SLICES + index,
          to: WARM_UP_SLICES + index + 1,
        }),
    );
  return computeLargestGap({
    first: listSlices(STEADY.name),
    second: listSlices(FLOODING.name),
  }, WINDOW_SLICES);
}
