/** What fleets of several sizes cost at rest: routers and the platform. */

import { SystemClock } from "@rattanvane/base";
import { type BenchFleet, startBenchFleet } from "../scenarios/bench_fleet.ts";
import { computeMean } from "../scenarios/figure.ts";
import {
  readRouterUsage,
  type RouterUsage,
} from "../scenarios/process_usage.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const ROUTERS_IN_ZONE = [1, 2, 4, 8];
const ZONES = 3;
const SETTLE_MILLISECONDS = 10_000;
const MEASURED_MILLISECONDS = 20_000;
const MILLISECONDS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Rates of one fleet at rest. */
interface RestRates {
  sentBytes: number;
  microseconds: number;
  residentBytes: number;
  reads: number;
  writes: number;
  /** Reads and writes from the start until the fleet has settled. */
  startReads: number;
  startWrites: number;
}

/** Measures fleets at rest by the number of their VMs. */
export async function measureFleetSlopes(
  signal: AbortSignal,
): Promise<Slope[]> {
  const measured: { size: number; rates: RestRates }[] = [];
  for (const routersPerZone of ROUTERS_IN_ZONE) {
    const size = routersPerZone * ZONES;
    measured.push({ size, rates: await measureRest(routersPerZone, signal) });
  }
  const collect = (pick: (rates: RestRates) => number): SlopePoint[] =>
    measured.map(({ size, rates }) => ({ size, value: pick(rates) }));
  const sizeUnit = "VM of the fleet";
  return [
    {
      name: "control sent by a VM at rest",
      sizeUnit,
      unit: "bytes/s",
      points: collect(({ sentBytes }) => sentBytes),
    },
    {
      name: "a router process at rest",
      sizeUnit,
      unit: "us/s",
      points: collect(({ microseconds }) => microseconds),
    },
    {
      name: "memory of a router process at rest",
      sizeUnit,
      unit: "bytes",
      points: collect(({ residentBytes }) => residentBytes),
    },
    {
      name: "the platform's reads at rest",
      sizeUnit,
      unit: "reads/s",
      points: collect(({ reads }) => reads),
    },
    {
      name: "the platform's writes at rest",
      sizeUnit,
      unit: "writes/s",
      points: collect(({ writes }) => writes),
    },
    {
      name: "the platform's reads by a fleet that starts at once",
      sizeUnit,
      unit: "reads",
      points: collect(({ startReads }) => startReads),
    },
    {
      name: "the platform's writes by a fleet that starts at once",
      sizeUnit,
      unit: "writes",
      points: collect(({ startWrites }) => startWrites),
    },
  ];
}

async function measureRest(
  routersPerZone: number,
  signal: AbortSignal,
): Promise<RestRates> {
  const clock = new SystemClock();
  const bench = await startBenchFleet({
    clock,
    changes: { routersPerZone, logLevel: "warn" },
  }, signal);
  try {
    const { platform } = bench.fleet.parts;
    await clock.sleep(SETTLE_MILLISECONDS, signal);
    const from = clock.now();
    const before = await platform.readCounters();
    const usageBefore = await readUsages(bench);
    await clock.sleep(MEASURED_MILLISECONDS, signal);
    const after = await platform.readCounters();
    const usageAfter = await readUsages(bench);
    const seconds = (clock.now() - from) / MILLISECONDS_PER_SECOND;
    const computeRate = (pick: (usage: RouterUsage) => number) =>
      (computeMean(usageAfter.map(pick)) - computeMean(usageBefore.map(pick))) /
      seconds;
    return {
      sentBytes: computeRate((usage) => usage.sentBytes),
      microseconds: computeRate((usage) => usage.processorSeconds) *
        MICROSECONDS_PER_SECOND,
      residentBytes: computeMean(
        usageAfter.map((usage) => usage.residentBytes),
      ),
      reads: (after.reads - before.reads) / seconds,
      writes: (after.writes - before.writes) / seconds,
      startReads: before.reads,
      startWrites: before.writes,
    };
  } finally {
    await bench.stop();
  }
}

async function readUsages(bench: BenchFleet): Promise<RouterUsage[]> {
  const { routers, options } = bench.fleet.parts;
  return await Promise.all(
    routers.map((router) => readRouterUsage(router, options.operatorKey)),
  );
}
