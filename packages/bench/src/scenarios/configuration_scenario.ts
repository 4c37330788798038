/** The time until an accepted change is in force on every VM. */

import { setMaxListeners } from "node:events";
import { OperationKind } from "@rattanvane/configuration";
import { MODEL_SERVICE, PLAIN_SERVICE } from "../fleet/fleet_options.ts";
import { hashKey } from "../fleet/router_settings_file.ts";
import { TablePoller } from "../baseline/table_poller.ts";
import { type BenchFleet, startBenchFleet } from "./bench_fleet.ts";
import { computePercentile, type Figure, TargetKind } from "./figure.ts";
import { parseMetric, readMetrics } from "./process_usage.ts";
import { Scenario, type ScenarioOptions } from "./scenario.ts";

const POLL_MILLISECONDS = 1000;
const CHECK_MILLISECONDS = 10;
const BETWEEN_CHANGES_MILLISECONDS = 300;
const MILLISECONDS_PER_SECOND = 1000;
const LIMIT_MILLISECONDS = 4000;
const MEDIAN = 50;
const ALL = 100;
const VERSION_METRIC = "rattanvane_configuration_version_number";

/** Reads the lowest version in force. */
type ReadLowest = () => Promise<number>;

/** What a phase came to. */
interface Phase {
  /** Milliseconds from acceptance until in force everywhere, by change. */
  delays: readonly number[];
  readsPerSecond: number;
}

/** Changes of weights, one after the other. */
export class ConfigurationScenario extends Scenario {
  override readonly name = "configuration";
  override readonly description =
    "time until a change is in force on every VM, and reads of the table";
  override readonly baseline =
    "every VM reads the table's newest version each second";

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const bench = await startBenchFleet({ clock, changes: { seed } }, signal);
    try {
      const product = await measurePhase(
        bench,
        { ...options, readLowest: () => readLowestVersion(bench) },
        signal,
      );
      const baseline = await measureBaseline(bench, options, signal);
      return buildFigures(product, {
        ...baseline,
        // The routers go on beside the baseline's pollers.
        readsPerSecond: baseline.readsPerSecond - product.readsPerSecond,
      });
    } finally {
      await bench.stop();
    }
  }
}

async function measureBaseline(
  bench: BenchFleet,
  options: ScenarioOptions,
  signal: AbortSignal,
): Promise<Phase> {
  const end = new AbortController();
  setMaxListeners(0, end.signal);
  const { platform, routers } = bench.fleet.parts;
  const pollers = routers.map((_, index) =>
    new TablePoller({
      platformUrl: platform.url,
      clock: options.clock,
      periodMilliseconds: POLL_MILLISECONDS,
      seed: options.seed + index,
    })
  );
  const running = pollers.map((poller) => poller.run(end.signal));
  const readLowest = () =>
    Promise.resolve(Math.min(...pollers.map(({ version }) => version)));
  const phase = await measurePhase(bench, { ...options, readLowest }, signal);
  end.abort();
  await Promise.all(running);
  return phase;
}

async function measurePhase(
  bench: BenchFleet,
  options: ScenarioOptions & { readLowest: ReadLowest },
  signal: AbortSignal,
): Promise<Phase> {
  const { clock, seconds, readLowest } = options;
  const { platform } = bench.fleet.parts;
  const startedAt = clock.now();
  const { reads } = await platform.readCounters();
  const deadline = startedAt + seconds * MILLISECONDS_PER_SECOND;
  const delays: number[] = [];
  while (clock.now() < deadline) {
    const version = await sendChange(bench, delays.length + 1);
    const acceptedAt = clock.now();
    while (await readLowest() < version) {
      await clock.sleep(CHECK_MILLISECONDS, signal);
    }
    delays.push(clock.now() - acceptedAt);
    await clock.sleep(BETWEEN_CHANGES_MILLISECONDS, signal);
  }
  const counters = await platform.readCounters();
  const elapsed = (clock.now() - startedAt) / MILLISECONDS_PER_SECOND;
  return { delays, readsPerSecond: (counters.reads - reads) / elapsed };
}

/** Changes a weight; returns the change's version. */
async function sendChange(bench: BenchFleet, weight: number): Promise<number> {
  const { configurator, options } = bench.fleet.parts;
  const [organisation] = options.organisations;
  if (organisation === undefined) {
    throw new Error("The fleet has no organisation");
  }
  const { name, key, queueLimit } = organisation;
  const change = await configurator.append([{
    kind: OperationKind.PutOrganisation,
    organisation: {
      name,
      weight,
      keyHashes: [hashKey(key)],
      services: [MODEL_SERVICE, PLAIN_SERVICE],
      queueLimit,
    },
  }]);
  return change.version;
}

async function readLowestVersion(bench: BenchFleet): Promise<number> {
  const { routers, options } = bench.fleet.parts;
  const versions = await Promise.all(
    routers.map(async ({ callerUrl }) =>
      parseMetric(
        await readMetrics(callerUrl, options.operatorKey),
        VERSION_METRIC,
      )
    ),
  );
  return Math.min(...versions);
}

function buildFigures(product: Phase, baseline: Phase): Figure[] {
  return [
    {
      name: "in force everywhere, median",
      unit: "ms",
      value: computePercentile(product.delays, MEDIAN),
      baseline: computePercentile(baseline.delays, MEDIAN),
    },
    {
      name: "in force everywhere, slowest",
      unit: "ms",
      value: computePercentile(product.delays, ALL),
      baseline: computePercentile(baseline.delays, ALL),
      target: { kind: TargetKind.AtMost, value: LIMIT_MILLISECONDS },
    },
    {
      name: "changes",
      unit: "changes",
      value: product.delays.length,
      baseline: baseline.delays.length,
    },
    {
      name: "reads of the platform by the fleet, with those of the writer",
      unit: "reads/s",
      value: product.readsPerSecond,
      baseline: baseline.readsPerSecond,
    },
  ];
}
