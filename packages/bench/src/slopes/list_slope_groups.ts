/** The groups of slopes that the bench measures. */

import { measureConfigurationSlopes } from "./configuration_slopes.ts";
import { measureFleetSlopes } from "./fleet_slopes.ts";
import { measureMembershipSlopes } from "./membership_slopes.ts";
import { measureMessageSlopes } from "./message_slopes.ts";
import { measureRouterSlopes } from "./router_slopes.ts";
import { measureSchedulerSlopes } from "./scheduler_slopes.ts";
import type { Slope } from "./slope.ts";

/** Slopes that are measured together. */
export interface SlopeGroup {
  name: string;
  measure: (signal: AbortSignal) => Promise<Slope[]>;
}

/** Lists the groups; those within this process come first. */
export function listSlopeGroups(): SlopeGroup[] {
  return [
    { name: "configuration", measure: measureConfigurationSlopes },
    { name: "scheduler", measure: measureSchedulerSlopes },
    { name: "messages", measure: measureMessageSlopes },
    { name: "membership", measure: measureMembershipSlopes },
    { name: "router", measure: measureRouterSlopes },
    { name: "fleet", measure: measureFleetSlopes },
  ];
}
