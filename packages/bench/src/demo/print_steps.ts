/** The demo's steps about jobs that must not be repeated. */

import { type Fleet } from "../fleet/fleet.ts";
import { PLAIN_SERVICE } from "../fleet/fleet_options.ts";
import { generateDatedKey } from "../load/dated_key.ts";
import type { PlainCaller, PlainResult } from "../load/plain_caller.ts";
import {
  createPlainCaller,
  type DemoContext,
  findOrganisation,
} from "./demo_context.ts";

const OK = 200;
const CALLER_JOB = "topper-1";
const ISSUED_JOB = "topper-2";

interface PrintJob {
  job: string;
  key: string;
  /** The two routers that get the same call. */
  urls: readonly [string, string];
}

/** Prints jobs that are sent twice by different VMs. */
export async function runPrintSteps(
  context: DemoContext,
  signal: AbortSignal,
): Promise<void> {
  const { report, fleet } = context;
  const caller = createPlainCaller(context, findOrganisation(context, 0));
  const urls = pickTwoUrls(fleet);
  report.announce("a print job sent twice with the caller's key");
  const byCaller = { job: CALLER_JOB, key: generateDatedKey(Date.now()), urls };
  await runPrintStep(context, { caller, print: byCaller }, signal);
  report.announce("a print job sent twice with an issued key");
  const key = await caller.requestKey(urls[0], signal);
  if (key === undefined) {
    report.add({
      promise: "POST /v1/keys issues a key",
      seen: "no key came",
      kept: false,
    });
    return;
  }
  const byFleet = { job: ISSUED_JOB, key, urls };
  await runPrintStep(context, { caller, print: byFleet }, signal);
}

async function runPrintStep(
  { report, fleet }: DemoContext,
  { caller, print }: { caller: PlainCaller; print: PrintJob },
  signal: AbortSignal,
): Promise<void> {
  const { job, key } = print;
  const results: PlainResult[] = [];
  for (const url of print.urls) {
    results.push(
      await caller.send({
        url,
        service: PLAIN_SERVICE,
        method: "POST",
        path: "/print",
        body: { job },
        key,
      }, signal),
    );
  }
  const runs = (await fleet.countRuns()).get(job) ?? 0;
  const texts = new Set(results.map((result) => result.text));
  const statuses = results.map((result) => result.status);
  const hasFailed = statuses.some((status) => status !== OK);
  report.add({
    promise: `job ${job}, sent twice with one key, runs once`,
    seen: `${runs} run(s); answers ${statuses.join(" and ")}, ` +
      (hasFailed
        ? results.map((result) => result.text.trim()).join(" ")
        : texts.size === 1
        ? "the same"
        : "different"),
    kept: runs === 1 && !hasFailed && texts.size === 1,
  });
}

/** The first VMs of the first and of the last zone. */
function pickTwoUrls(fleet: Fleet): [string, string] {
  const { routers } = fleet.parts;
  return [routers[0]?.callerUrl ?? "", routers.at(-1)?.callerUrl ?? ""];
}
