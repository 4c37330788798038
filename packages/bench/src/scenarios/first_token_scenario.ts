/** What the router adds to the time until the first token. */

import { LoadTally } from "../load/load_tally.ts";
import { runClosedLoop } from "../load/load_loops.ts";
import { type BenchFleet, startBenchFleet } from "./bench_fleet.ts";
import { computePercentile, type Figure, TargetKind } from "./figure.ts";
import { Scenario, type ScenarioOptions } from "./scenario.ts";

const CLIENTS = 6;
const WARM_UP_SECONDS = 6;
const MILLISECONDS_PER_SECOND = 1000;
const MEDIAN = 50;
const HIGH_PERCENT = 95;
const FIRST_TOKEN_MILLISECONDS = 310;
const TOKEN_GAP_MILLISECONDS = 80;

/** Delays in milliseconds. */
interface Delays {
  first: readonly number[];
  /** The mean time between tokens of each answer. */
  between: readonly number[];
}

/** Calls by way of the routers against calls to the engines. */
export class FirstTokenScenario extends Scenario {
  override readonly name = "first-token";
  override readonly description =
    "time to the first token and between tokens by way of a router";
  override readonly baseline = "the same calls sent to the engines directly";

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const bench = await startBenchFleet({ clock, changes: { seed } }, signal);
    try {
      const routers = bench.listRouters().map(({ url }) => url);
      const engines = bench.fleet.parts.engines.map(({ url }) => url);
      // Limits grow with evidence, so the warm-up is a load too.
      await measureDelays(
        bench,
        {
          ...options,
          name: "warm-up",
          seconds: WARM_UP_SECONDS,
          urls: routers,
        },
        signal,
      );
      // The names differ, so that neither finds the other's prefixes cached.
      const routed = await measureDelays(
        bench,
        { ...options, name: "routed", urls: routers },
        signal,
      );
      const direct = await measureDelays(
        bench,
        { ...options, name: "direct", urls: engines },
        signal,
      );
      return buildFigures(routed, direct);
    } finally {
      await bench.stop();
    }
  }
}

async function measureDelays(
  bench: BenchFleet,
  options: ScenarioOptions & { name: string; urls: readonly string[] },
  signal: AbortSignal,
): Promise<Delays> {
  const { clock, seed, seconds, name, urls } = options;
  const tally = new LoadTally();
  const [organisation] = bench.fleet.parts.options.organisations;
  if (organisation === undefined) {
    throw new Error("The fleet has no organisation");
  }
  const source = { ...bench.createSource(organisation, { urls }), name };
  await runClosedLoop(source, {
    clock,
    seed,
    tally,
    durationMilliseconds: seconds * MILLISECONDS_PER_SECOND,
    clients: CLIENTS,
  }, signal);
  const answered = tally.records.flatMap((record) =>
    record.firstTextAt === undefined || record.tokens < 2
      ? []
      : [{ ...record, firstTextAt: record.firstTextAt }]
  );
  return {
    first: answered.map((each) => each.firstTextAt - each.startedAt),
    between: answered.map((each) =>
      (each.endedAt - each.firstTextAt) / (each.tokens - 1)
    ),
  };
}

function buildFigures(routed: Delays, direct: Delays): Figure[] {
  const find = ({ first }: Delays, percent: number) =>
    computePercentile(first, percent);
  return [
    {
      name: "first token, median",
      unit: "ms",
      value: find(routed, MEDIAN),
      baseline: find(direct, MEDIAN),
    },
    {
      name: "first token, 95 of 100",
      unit: "ms",
      value: find(routed, HIGH_PERCENT),
      baseline: find(direct, HIGH_PERCENT),
      target: { kind: TargetKind.AtMost, value: FIRST_TOKEN_MILLISECONDS },
    },
    {
      name: "added by the router, median",
      unit: "ms",
      value: find(routed, MEDIAN) - find(direct, MEDIAN),
    },
    {
      name: "between tokens, 95 of 100 answers",
      unit: "ms",
      value: computePercentile(routed.between, HIGH_PERCENT),
      baseline: computePercentile(direct.between, HIGH_PERCENT),
      target: { kind: TargetKind.AtMost, value: TOKEN_GAP_MILLISECONDS },
    },
  ];
}
