/** What requests cost one real router process. */

import { setMaxListeners } from "node:events";
import { type Clock, SystemClock } from "@rattanvane/base";
import { type BenchFleet, startBenchFleet } from "../scenarios/bench_fleet.ts";
import { computeMean } from "../scenarios/figure.ts";
import {
  readRouterUsage,
  type RouterUsage,
} from "../scenarios/process_usage.ts";
import { runClosedLoop } from "../load/load_loops.ts";
import { LoadTally } from "../load/load_tally.ts";
import type { FleetRouter } from "../fleet/fleet_router.ts";
import type {
  FleetOptions,
  FleetOrganisation,
} from "../fleet/fleet_options.ts";
import type { Slope, SlopePoint } from "./slope.ts";

const HELD_COUNTS = [500, 1000, 2000];
const ENGINE_COUNTS = [2, 8, 16];
const STREAM_COUNTS = [16, 32, 64];
const WAITING_REQUESTS = 20_000;
const SLOTS = 64;
const TOKEN_MILLISECONDS = 20;
const SETTLE_MILLISECONDS = 4000;
const MEASURED_MILLISECONDS = 8000;
const WARM_UP_MILLISECONDS = 6000;
const LONG_RUN_MILLISECONDS = 600_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1000;
const LONG_TOKENS = { fewest: 240, most: 255 };
const SHORT_TOKENS = { fewest: 4, most: 4 };

/** A router with the engine before which everything runs. */
interface Stage {
  bench: BenchFleet;
  router: FleetRouter;
  organisation: FleetOrganisation;
  clock: Clock;
}

/** Measures requests held, requests run and tokens passed on. */
export async function measureRouterSlopes(
  signal: AbortSignal,
): Promise<Slope[]> {
  const held = await runOnStage({}, measureHeld, signal);
  const tokens = await runOnStage({}, measureTokens, signal);
  const requests = await runOnStage({}, measureRequests, signal);
  const polled: SlopePoint[] = [];
  for (const size of ENGINE_COUNTS) {
    const changes = { enginesPerZone: size };
    const { processor } = await runOnStage(changes, measureRest, signal);
    polled.push({ size, value: computeMean(processor.map(readValue)) });
  }
  return [
    {
      name: "memory of the process with requests held, waiting",
      sizeUnit: "request held",
      unit: "bytes",
      points: held.memory,
    },
    {
      name: "a router with requests held, waiting",
      sizeUnit: "request held",
      unit: "us/s",
      points: held.processor,
    },
    {
      name: "a router at rest that reads load reports",
      sizeUnit: "endpoint",
      unit: "us/s",
      points: polled,
    },
    {
      name: "streams passed on",
      sizeUnit: "token/s",
      unit: "us/s",
      points: tokens.processor,
    },
    {
      name: "requests of 4 tokens served",
      sizeUnit: "request/s",
      unit: "us/s",
      points: requests.processor,
    },
  ];
}

interface StagePoints {
  processor: SlopePoint[];
  memory: SlopePoint[];
}

async function runOnStage(
  changes: Partial<FleetOptions>,
  measure: (stage: Stage, signal: AbortSignal) => Promise<StagePoints>,
  signal: AbortSignal,
): Promise<StagePoints> {
  const clock = new SystemClock();
  const bench = await startBenchFleet({
    clock,
    changes: {
      zones: ["zone-a"],
      routersPerZone: 1,
      logLevel: "warn",
      engine: {
        "slots": SLOTS,
        "cold-slots": SLOTS,
        "token-ms": TOKEN_MILLISECONDS,
      },
      engineLimits: { coldLimit: SLOTS, limitCeiling: SLOTS },
      routerSettings: { limits: { waitingRequests: WAITING_REQUESTS } },
      ...changes,
    },
  }, signal);
  try {
    const { routers, options } = bench.fleet.parts;
    const [router] = routers;
    const [organisation] = options.organisations;
    if (router === undefined || organisation === undefined) {
      throw new Error("The fleet has no router or no organisation");
    }
    await clock.sleep(SETTLE_MILLISECONDS, signal);
    return await measure({ bench, router, organisation, clock }, signal);
  } finally {
    await bench.stop();
  }
}

/** A router that nobody calls. */
async function measureRest(
  stage: Stage,
  signal: AbortSignal,
): Promise<StagePoints> {
  const usage = await measureUsage(stage, signal);
  const value = usage.microsecondsPerSecond;
  return { processor: [{ size: 0, value }], memory: [] };
}

function readValue({ value }: SlopePoint): number {
  return value;
}

/** Requests that wait, beside as many long answers as there are slots. */
async function measureHeld(
  stage: Stage,
  signal: AbortSignal,
): Promise<StagePoints> {
  const points: StagePoints = { processor: [], memory: [] };
  for (const size of HELD_COUNTS) {
    const load = startLoad(
      stage,
      { clients: size, tokens: LONG_TOKENS },
      signal,
    );
    await stage.clock.sleep(SETTLE_MILLISECONDS, signal);
    const usage = await measureUsage(stage, signal);
    points.memory.push({ size, value: usage.residentBytes });
    points.processor.push({ size, value: usage.microsecondsPerSecond });
    await load.stop();
    await stage.clock.sleep(SETTLE_MILLISECONDS, signal);
  }
  return points;
}

async function measureTokens(
  stage: Stage,
  signal: AbortSignal,
): Promise<StagePoints> {
  return await measureRates(stage, {
    tokens: LONG_TOKENS,
    countPerSecond: (seconds, before, after) =>
      (after.tokens - before.tokens) / seconds,
  }, signal);
}

async function measureRequests(
  stage: Stage,
  signal: AbortSignal,
): Promise<StagePoints> {
  return await measureRates(stage, {
    tokens: SHORT_TOKENS,
    countPerSecond: (seconds, before, after) =>
      (after.started - before.started) / seconds,
  }, signal);
}

interface EngineCounts {
  tokens: number;
  started: number;
}

/** Processor time at several numbers of clients, by what the engine counts. */
async function measureRates(
  stage: Stage,
  options: {
    tokens: { fewest: number; most: number };
    countPerSecond: (
      seconds: number,
      before: EngineCounts,
      after: EngineCounts,
    ) => number;
  },
  signal: AbortSignal,
): Promise<StagePoints> {
  const points: StagePoints = { processor: [], memory: [] };
  const [engine] = stage.bench.fleet.parts.engines;
  if (engine === undefined) {
    throw new Error("The fleet has no engine");
  }
  for (const clients of STREAM_COUNTS) {
    const load = startLoad(stage, { ...options, clients }, signal);
    await stage.clock.sleep(WARM_UP_MILLISECONDS, signal);
    const before = await engine.readCounters();
    const usage = await measureUsage(stage, signal);
    const after = await engine.readCounters();
    const size = options.countPerSecond(usage.seconds, before, after);
    points.processor.push({
      size: Math.round(size),
      value: usage.microsecondsPerSecond,
    });
    points.memory.push({ size: clients, value: usage.residentBytes });
    await load.stop();
  }
  return points;
}

/** Keeps calls under way until it is stopped. */
function startLoad(
  { bench, router, organisation, clock }: Stage,
  options: { clients: number; tokens: { fewest: number; most: number } },
  signal: AbortSignal,
): { stop: () => Promise<void> } {
  const end = new AbortController();
  const lifetime = AbortSignal.any([end.signal, signal]);
  setMaxListeners(0, lifetime);
  const source = bench.createSource(organisation, { urls: [router.callerUrl] });
  const running = runClosedLoop({ ...source, tokens: options.tokens }, {
    clock,
    tally: new LoadTally(),
    seed: options.clients,
    durationMilliseconds: LONG_RUN_MILLISECONDS,
    clients: options.clients,
  }, lifetime);
  return {
    stop: async () => {
      end.abort();
      await running;
    },
  };
}

interface StageUsage {
  seconds: number;
  microsecondsPerSecond: number;
  residentBytes: number;
}

async function measureUsage(
  { bench, router, clock }: Stage,
  signal: AbortSignal,
): Promise<StageUsage> {
  const { operatorKey } = bench.fleet.parts.options;
  const read = (): Promise<RouterUsage> => readRouterUsage(router, operatorKey);
  const from = clock.now();
  const before = await read();
  await clock.sleep(MEASURED_MILLISECONDS, signal);
  const after = await read();
  const seconds = (clock.now() - from) / MILLISECONDS_PER_SECOND;
  const used = after.processorSeconds - before.processorSeconds;
  return {
    seconds,
    microsecondsPerSecond: used * MICROSECONDS_PER_SECOND / seconds,
    residentBytes: after.residentBytes,
  };
}
