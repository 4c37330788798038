/** Names, places and addresses of a fleet's processes. */

import type { EndpointPlan } from "./fleet_endpoint.ts";
import type { FleetOptions } from "./fleet_options.ts";
import { findFreePorts } from "./free_ports.ts";

/** Where a router listens. */
export interface RouterPlan {
  vm: string;
  zone: string;
  /**
   * A loopback number of its own, so that the proxy can tell whose
   * connection it gets.
   */
  host: string;
  callerPort: number;
  controlPort: number;
}

/** Plans the routers of all zones and finds free ports for them. */
export async function buildRouterPlans(
  options: FleetOptions,
): Promise<RouterPlan[]> {
  const plans: RouterPlan[] = [];
  for (const [zoneIndex, zone] of options.zones.entries()) {
    for (let number = 1; number <= options.routersPerZone; number++) {
      const host = `127.1.${zoneIndex + 1}.${number}`;
      const [callerPort = 0, controlPort = 0] = await findFreePorts(host, 2);
      const vm = formatName("vm", { zone, number });
      plans.push({ vm, zone, host, callerPort, controlPort });
    }
  }
  return plans;
}

/** Plans the engines of all zones. */
export function buildEnginePlans(options: FleetOptions): EndpointPlan[] {
  const { enginesPerZone, engine } = options;
  return buildEndpointPlans(options, {
    kind: "engine",
    number: enginesPerZone,
    options: engine,
  });
}

/** Plans the plain services of all zones. */
export function buildPlainPlans(options: FleetOptions): EndpointPlan[] {
  const { plainServicesPerZone, plain } = options;
  return buildEndpointPlans(options, {
    kind: "plain",
    number: plainServicesPerZone,
    options: plain,
  });
}

function buildEndpointPlans(
  { zones }: FleetOptions,
  wanted: { kind: string; number: number; options: EndpointPlan["options"] },
): EndpointPlan[] {
  const { kind, options } = wanted;
  return zones.flatMap((zone) =>
    Array.from({ length: wanted.number }, (_, index) => ({
      name: formatName(kind, { zone, number: index + 1 }),
      zone,
      options,
    }))
  );
}

function formatName(
  kind: string,
  place: { zone: string; number: number },
): string {
  return `${kind}-${place.zone.replace(/^zone-/, "")}${place.number}`;
}
