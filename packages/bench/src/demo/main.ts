/**
 * The demo: a local fleet serves two organisations, streams an answer, prints
 * a job once although it is sent twice, and loses and regains a zone. Ends
 * with 1 when something is not as promised.
 */

import process from "node:process";
import { describeError, SystemClock } from "@rattanvane/base";
import { Agent } from "undici";
import { startFleet } from "../fleet/fleet.ts";
import { runRequestStep, runStreamStep } from "./answer_steps.ts";
import type { DemoContext } from "./demo_context.ts";
import { DemoReport } from "./demo_report.ts";
import { runEngineStep } from "./engine_step.ts";
import { runPrintSteps } from "./print_steps.ts";
import { runZoneStep } from "./zone_step.ts";

const LONGEST_RUN_MILLISECONDS = 58_000;

async function runSteps(
  context: DemoContext,
  signal: AbortSignal,
): Promise<void> {
  await runRequestStep(context, signal);
  await runStreamStep(context, signal);
  await runPrintSteps(context, signal);
  await runZoneStep(context, signal);
  await runEngineStep(context);
}

async function runDemo(
  report: DemoReport,
  signal: AbortSignal,
): Promise<void> {
  report.announce("starting a fleet of 3 zones");
  const fleet = await startFleet({}, signal);
  const dispatcher = new Agent();
  try {
    const context = { fleet, report, clock: new SystemClock(), dispatcher };
    await runSteps(context, signal);
  } finally {
    await dispatcher.destroy();
    await fleet.stop();
  }
}

async function main(): Promise<void> {
  const startedAt = performance.now();
  const report = new DemoReport((line) => console.log(line));
  let failure: string | undefined;
  try {
    await runDemo(report, AbortSignal.timeout(LONGEST_RUN_MILLISECONDS));
  } catch (error) {
    failure = describeError(error);
  }
  const seconds = Math.round((performance.now() - startedAt) / 1000);
  console.log(`\n${report.render()}\n`);
  if (failure !== undefined) {
    console.log(`The demo could not go on: ${failure}`);
  }
  const kept = failure === undefined && report.isKept;
  console.log(
    kept ? `All promises kept in ${seconds} s` : `Failed after ${seconds} s`,
  );
  process.exit(kept ? 0 : 1);
}

await main();
