/** Slot time used while all load comes in at one VM. */

import { LoadTally } from "../load/load_tally.ts";
import { runClosedLoop } from "../load/load_loops.ts";
import { CallVerdict } from "../load/call_record.ts";
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

const TARGET = 0.97;
const CLIENTS = 72;
const WARM_UP_MILLISECONDS = 6000;
const MILLISECONDS_PER_SECOND = 1000;

/** What a phase came to. */
interface Phase {
  used: number;
  failed: number;
}

/** All of one organisation at one VM. */
export class UtilisationScenario extends Scenario {
  override readonly name = "utilisation";
  override readonly description =
    "slot time used while work waits, all load at one VM";
  override readonly baseline = ROUND_ROBIN_BASELINE;

  override async measure(
    options: ScenarioOptions,
    signal: AbortSignal,
  ): Promise<Figure[]> {
    const { clock, seed } = options;
    const bench = await startBenchFleet({ clock, changes: { seed } }, signal);
    try {
      const product = await measurePhase(
        bench,
        { ...options, entry: bench.listRouters()[0] },
        signal,
      );
      const overloads = await bench.countOverloads();
      const baseline = await measurePhase(
        bench,
        { ...options, entry: (await bench.startBaseline())[0] },
        signal,
      );
      return [
        {
          name: "slot time used",
          unit: "fraction",
          value: product.used,
          baseline: baseline.used,
          target: { kind: TargetKind.AtLeast, value: TARGET },
        },
        {
          name: "calls without a whole answer",
          unit: "calls",
          value: product.failed,
          baseline: baseline.failed,
          target: { kind: TargetKind.AtMost, value: 0 },
        },
        {
          name: "engines overloaded",
          unit: "crashes",
          value: overloads,
          target: { kind: TargetKind.AtMost, value: 0 },
        },
      ];
    } finally {
      await bench.stop();
    }
  }
}

async function measurePhase(
  bench: BenchFleet,
  options: ScenarioOptions & { entry: EntryPoint | undefined },
  signal: AbortSignal,
): Promise<Phase> {
  const { clock, seed, seconds, entry } = options;
  const { organisations } = bench.fleet.parts.options;
  const [organisation] = organisations;
  if (entry === undefined || organisation === undefined) {
    throw new Error("The fleet has no router or no organisation");
  }
  const tally = new LoadTally();
  const span = seconds * MILLISECONDS_PER_SECOND;
  const durationMilliseconds = WARM_UP_MILLISECONDS + span;
  const load = runClosedLoop(
    bench.createSource(organisation, { urls: [entry.url] }),
    { clock, tally, seed, durationMilliseconds, clients: CLIENTS },
    signal,
  );
  await clock.sleep(WARM_UP_MILLISECONDS, signal);
  const before = await bench.readSlotMilliseconds();
  const from = clock.now();
  await clock.sleep(span, signal);
  const used = await bench.readSlotMilliseconds() - before;
  const elapsed = clock.now() - from;
  await load;
  const slots = ENGINE_SLOTS * bench.fleet.parts.engines.length;
  return {
    used: used / (slots * elapsed),
    failed: tally.records.length - tally.count(CallVerdict.Whole),
  };
}
