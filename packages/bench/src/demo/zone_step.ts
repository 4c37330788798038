/** The demo's step in which an availability zone leaves and returns. */

import type { CallRecord } from "../load/call_record.ts";
import { describeVerdicts, isWhole } from "./answer_steps.ts";
import { runCommandLine } from "./command_line.ts";
import { type DemoContext, sendToAllRouters } from "./demo_context.ts";

/** After this time a drained zone gets no new work. */
const IN_FORCE_MILLISECONDS = 3000;
const CALLS_EACH = 4;

/** Drains a zone under load, and returns it. */
export async function runZoneStep(
  context: DemoContext,
  signal: AbortSignal,
): Promise<void> {
  const { fleet, report } = context;
  const zone = fleet.parts.options.zones[1] ?? "";
  report.announce(`zone drain ${zone}`);
  const draining = await applyZoneChange(
    context,
    { verb: "drain", zone },
    signal,
  );
  const before = await countStarted(context, zone);
  const away = await sendCalls(context, "away", signal);
  const meanwhile = await countStarted(context, zone) - before;
  report.announce(`zone return ${zone}`);
  const returning = await applyZoneChange(
    context,
    { verb: "return", zone },
    signal,
  );
  const back = await sendCalls(context, "back", signal);
  const afterwards = await countStarted(context, zone) - before - meanwhile;
  report.add({
    promise: `${zone} out: it gets no new work`,
    seen: `${meanwhile} calls at its engines`,
    kept: meanwhile === 0,
  });
  report.add({
    promise: `${zone} back: it gets work again`,
    seen: `${afterwards} calls at its engines`,
    kept: afterwards > 0,
  });
  const all = [...draining, ...away, ...returning, ...back];
  report.add({
    promise: "all VMs go on answering meanwhile",
    seen: describeVerdicts(all),
    kept: all.every(isWhole),
  });
}

/** Changes a zone by the command line while calls go on. */
async function applyZoneChange(
  context: DemoContext,
  { verb, zone }: { verb: "drain" | "return"; zone: string },
  signal: AbortSignal,
): Promise<CallRecord[]> {
  const platformUrl = context.fleet.parts.platform.url;
  const calls = sendCalls(context, `${verb}ing`, signal);
  await runCommandLine(["zone", verb, zone], { platformUrl }, signal);
  await context.clock.sleep(IN_FORCE_MILLISECONDS, signal);
  return await calls;
}

async function sendCalls(
  context: DemoContext,
  name: string,
  signal: AbortSignal,
): Promise<CallRecord[]> {
  const options = { name, callsEach: CALLS_EACH };
  return await sendToAllRouters(context, options, signal);
}

/** Counts the requests that a zone's engines have admitted so far. */
async function countStarted(
  { fleet }: DemoContext,
  zone: string,
): Promise<number> {
  let started = 0;
  for (const engine of fleet.parts.engines) {
    if (engine.zone === zone) {
      started += (await engine.readCounters()).started;
    }
  }
  return started;
}
