/** The demo's steps about answers. */

import { MODEL_SERVICE } from "../fleet/fleet_options.ts";
import { type CallRecord, CallVerdict } from "../load/call_record.ts";
import {
  createCompletionCaller,
  type DemoContext,
  findOrganisation,
  sendToAllRouters,
} from "./demo_context.ts";

const CALLS_EACH = 4;
const STREAM_TOKENS = 40;

/** Sends requests of all organisations by all VMs. */
export async function runRequestStep(
  context: DemoContext,
  signal: AbortSignal,
): Promise<void> {
  const { report, fleet } = context;
  const { routers, options } = fleet.parts;
  report.announce("requests of two organisations by all VMs");
  const records = await sendToAllRouters(
    context,
    { name: "request", callsEach: CALLS_EACH },
    signal,
  );
  for (const { name } of options.organisations) {
    const own = records.filter((record) => record.organisation === name);
    report.add({
      promise: `${name}: each of ${own.length} calls by ${routers.length} ` +
        "VMs gets its whole answer",
      seen: describeVerdicts(own),
      kept: own.length > 0 && own.every(isWhole),
    });
  }
}

/** Streams one answer. */
export async function runStreamStep(
  context: DemoContext,
  signal: AbortSignal,
): Promise<void> {
  const { report, fleet } = context;
  report.announce("a streamed answer");
  const caller = createCompletionCaller(context, findOrganisation(context, 0));
  const record = await caller.send({
    url: fleet.parts.routers[0]?.callerUrl ?? "",
    model: MODEL_SERVICE,
    prompt: `A long mock-up text for a wedding cake [tokens:${STREAM_TOKENS}]`,
    maxTokens: STREAM_TOKENS,
    isChat: true,
    isStream: true,
  }, signal);
  const firstText = (record.firstTextAt ?? record.endedAt) - record.startedAt;
  const all = record.endedAt - record.startedAt;
  report.add({
    promise: "a stream equals the engine's text byte for byte",
    seen: `${describeVerdicts([record])}; ${record.tokens} tokens, first ` +
      `after ${Math.round(firstText)} ms, last after ${Math.round(all)} ms`,
    kept: isWhole(record) && record.tokens === STREAM_TOKENS,
  });
}

/** Whether a call got its whole answer. */
export function isWhole(record: CallRecord): boolean {
  return record.verdict === CallVerdict.Whole;
}

/** Describes how calls ended, with the first problem. */
export function describeVerdicts(records: readonly CallRecord[]): string {
  const counts = Object.values(CallVerdict)
    .map((verdict) => ({
      verdict,
      count: records.filter((record) => record.verdict === verdict).length,
    }))
    .filter(({ count }) => count > 0)
    .map(({ verdict, count }) => `${count} ${verdict}`);
  const problem = records.find((record) => record.problem !== "")?.problem;
  return [...counts, ...(problem === undefined ? [] : [problem.trim()])]
    .join(", ");
}
