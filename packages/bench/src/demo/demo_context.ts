/** What the steps of the demo share. */

import type { Clock } from "@rattanvane/base";
import type { Dispatcher } from "undici";
import type { Fleet } from "../fleet/fleet.ts";
import {
  type FleetOrganisation,
  MODEL_SERVICE,
} from "../fleet/fleet_options.ts";
import type { CallRecord } from "../load/call_record.ts";
import { CompletionCaller } from "../load/completion_caller.ts";
import { PlainCaller } from "../load/plain_caller.ts";
import type { DemoReport } from "./demo_report.ts";

const ANSWER_TOKENS = 24;

/** The fleet and the report. */
export interface DemoContext {
  fleet: Fleet;
  report: DemoReport;
  clock: Clock;
  dispatcher: Dispatcher;
}

/** Sends calls of every organisation to every VM, all at the same time. */
export async function sendToAllRouters(
  context: DemoContext,
  options: { name: string; callsEach: number },
  signal: AbortSignal,
): Promise<CallRecord[]> {
  const { fleet } = context;
  const calls: Promise<CallRecord>[] = [];
  for (const organisation of fleet.parts.options.organisations) {
    const caller = createCompletionCaller(context, organisation);
    for (const router of fleet.parts.routers) {
      for (let index = 0; index < options.callsEach; index++) {
        calls.push(caller.send({
          url: router.callerUrl,
          model: MODEL_SERVICE,
          prompt:
            `${options.name} ${organisation.name} ${router.vm} ${index} ` +
            `[tokens:${ANSWER_TOKENS}]`,
          maxTokens: ANSWER_TOKENS,
          isChat: index % 2 === 0,
          isStream: index % 3 === 0,
        }, signal));
      }
    }
  }
  return await Promise.all(calls);
}

/** Creates an organisation's caller of models. */
export function createCompletionCaller(
  { clock, dispatcher }: DemoContext,
  { name, key }: FleetOrganisation,
): CompletionCaller {
  return new CompletionCaller({ organisation: name, key, clock, dispatcher });
}

/** Creates an organisation's caller of plain services. */
export function createPlainCaller(
  { clock, dispatcher }: DemoContext,
  { key }: FleetOrganisation,
): PlainCaller {
  return new PlainCaller({ key, clock, dispatcher });
}

/** The organisation at a place in the fleet's list. */
export function findOrganisation(
  { fleet }: DemoContext,
  index: number,
): FleetOrganisation {
  const organisation = fleet.parts.options.organisations[index];
  if (organisation === undefined) {
    throw new Error(`The fleet has no organisation number ${index + 1}`);
  }
  return organisation;
}
