/** What control costs a VM: bytes, processor time and memory. */

import { LoadTally } from "../load/load_tally.ts";
import { runOpenLoop } from "../load/load_loops.ts";
import { type BenchFleet, startBenchFleet } from "./bench_fleet.ts";
import { computeMean, type Figure, TargetKind } from "./figure.ts";
import { readRouterUsage, type RouterUsage } from "./process_usage.ts";
import { Scenario, type ScenarioOptions } from "./scenario.ts";

const WARM_UP_MILLISECONDS = 6000;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
const CALLS_PER_SECOND = 14;
const LIMIT_BYTES_PER_SECOND = 16 * 1024;
const LIMIT_PROCESSOR_FRACTION = 0.017;
const LIMIT_MEBIBYTES = 128;

/** Means over the routers, for one phase. */
interface Phase {
  seconds: number;
  requestsEach: number;
  sentBytesPerSecond: number;
  processorFraction: number;
  residentMebibytes: number;
}

/** A fleet at rest and the same fleet under a steady load. */
export class ControlScenario extends Scenario {
  override readonly name = "control";
  override readonly description =
    "control bytes, processor time and memory of a router, at rest and a " +
    "request";
  override readonly baseline = "the same fleet at rest";

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const changes = { seed, logLevel: "warn" };
    const bench = await startBenchFleet({ clock, changes }, signal);
    try {
      await clock.sleep(WARM_UP_MILLISECONDS, signal);
      const rest = await measurePhase(bench, options, async () => {
        const span = options.seconds * MILLISECONDS_PER_SECOND;
        await clock.sleep(span, signal);
        return 0;
      });
      const loaded = await measurePhase(
        bench,
        options,
        () => sendLoad(bench, options, signal),
      );
      return buildFigures(rest, loaded);
    } finally {
      await bench.stop();
    }
  }
}

/** Sends the load; returns the number of calls. */
async function sendLoad(
  bench: BenchFleet,
  { clock, seed, seconds }: ScenarioOptions,
  signal: AbortSignal,
): Promise<number> {
  const [organisation] = bench.fleet.parts.options.organisations;
  if (organisation === undefined) {
    throw new Error("The fleet has no organisation");
  }
  const urls = bench.listRouters().map(({ url }) => url);
  const tally = new LoadTally();
  await runOpenLoop(bench.createSource(organisation, { urls }), {
    clock,
    seed,
    tally,
    durationMilliseconds: seconds * MILLISECONDS_PER_SECOND,
    callsPerSecond: CALLS_PER_SECOND,
  }, signal);
  return tally.records.length;
}

async function measurePhase(
  bench: BenchFleet,
  { clock }: ScenarioOptions,
  run: () => Promise<number>,
): Promise<Phase> {
  const before = await readUsages(bench);
  const from = clock.now();
  const calls = await run();
  const after = await readUsages(bench);
  const seconds = (clock.now() - from) / MILLISECONDS_PER_SECOND;
  const computeGrowth = (pick: (usage: RouterUsage) => number) =>
    computeMean(after.map(pick)) - computeMean(before.map(pick));
  return {
    seconds,
    requestsEach: calls / after.length,
    sentBytesPerSecond: computeGrowth((usage) => usage.sentBytes) / seconds,
    processorFraction: computeGrowth((usage) => usage.processorSeconds) /
      seconds,
    residentMebibytes: computeMean(after.map((usage) => usage.residentBytes)) /
      BYTES_PER_MEBIBYTE,
  };
}

async function readUsages(bench: BenchFleet): Promise<RouterUsage[]> {
  const { routers, options } = bench.fleet.parts;
  return await Promise.all(
    routers.map((router) => readRouterUsage(router, options.operatorKey)),
  );
}

function buildFigures(rest: Phase, loaded: Phase): Figure[] {
  const { requestsEach, seconds } = loaded;
  const computeEach = (growth: number) => growth * seconds / requestsEach;
  return [
    {
      name: "control sent by a VM at rest",
      unit: "bytes/s",
      value: rest.sentBytesPerSecond,
      target: { kind: TargetKind.AtMost, value: LIMIT_BYTES_PER_SECOND },
    },
    {
      name: `control sent by a VM at ${CALLS_PER_SECOND} calls/s, 6 VMs`,
      unit: "bytes/s",
      value: loaded.sentBytesPerSecond,
      baseline: rest.sentBytesPerSecond,
      target: { kind: TargetKind.AtMost, value: LIMIT_BYTES_PER_SECOND },
    },
    {
      name: "control sent a request",
      unit: "bytes",
      value: computeEach(loaded.sentBytesPerSecond - rest.sentBytesPerSecond),
    },
    {
      name: "processor time at rest",
      unit: "fraction",
      value: rest.processorFraction,
      target: { kind: TargetKind.AtMost, value: LIMIT_PROCESSOR_FRACTION },
    },
    {
      name: "processor time a request, answer included",
      unit: "us",
      value: computeEach(loaded.processorFraction - rest.processorFraction) *
        MICROSECONDS_PER_SECOND,
    },
    {
      name: "memory of the process at rest",
      unit: "MiB",
      value: rest.residentMebibytes,
      target: { kind: TargetKind.AtMost, value: LIMIT_MEBIBYTES },
    },
    {
      name: "memory of the process under load",
      unit: "MiB",
      value: loaded.residentMebibytes,
      baseline: rest.residentMebibytes,
      target: { kind: TargetKind.AtMost, value: LIMIT_MEBIBYTES },
    },
  ];
}
