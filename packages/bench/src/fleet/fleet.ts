/** A local fleet of real processes on the loopback. */

import { setMaxListeners } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type FleetEngine,
  type FleetPlain,
  startEngine,
  startPlain,
} from "./fleet_endpoint.ts";
import {
  buildFleetOperations,
  type ExposedEndpoint,
  FleetConfigurator,
} from "./fleet_configuration.ts";
import type { FleetEndpoint } from "./fleet_endpoint.ts";
import { FleetNetwork } from "./fleet_network.ts";
import { createFleetOptions, type FleetOptions } from "./fleet_options.ts";
import {
  buildEnginePlans,
  buildPlainPlans,
  buildRouterPlans,
  type RouterPlan,
} from "./fleet_plan.ts";
import { type FleetPlatform, startPlatform } from "./fleet_platform.ts";
import { type FleetProxy, startProxy } from "./fleet_proxy.ts";
import { FleetRouter } from "./fleet_router.ts";
import type { LogLine, LogQuery } from "./process_log.ts";
import {
  type RouterPlace,
  writeRouterSettings,
} from "./router_settings_file.ts";

const FOLDER_PREFIX = "rattanvane-fleet-";

/** What a running fleet consists of. */
export interface FleetParts {
  options: FleetOptions;
  platform: FleetPlatform;
  engines: readonly FleetEngine[];
  plainServices: readonly FleetPlain[];
  routers: readonly FleetRouter[];
  /** Undefined when the fleet is not proxied. */
  proxy: FleetProxy | undefined;
  network: FleetNetwork;
  configurator: FleetConfigurator;
  /** Holds the settings files. */
  folder: string;
}

/** A running fleet. */
export class Fleet {
  readonly parts: FleetParts;
  readonly #end: AbortController;

  constructor(parts: FleetParts, end: AbortController) {
    this.parts = parts;
    this.#end = end;
  }

  /** Finds a router by its VM; throws when there is none. */
  router(vm: string): FleetRouter {
    const found = this.parts.routers.find((router) => router.vm === vm);
    if (found === undefined) {
      throw new Error(`The fleet has no VM "${vm}"`);
    }
    return found;
  }

  /** Log lines of all routers that match a query. */
  findLogLines(query: LogQuery): LogLine[] {
    return this.parts.routers.flatMap((router) => router.findLogLines(query));
  }

  /** How often each job ran at any plain service. */
  async countRuns(): Promise<Map<string, number>> {
    const totals = new Map<string, number>();
    for (const plain of this.parts.plainServices) {
      for (const [job, runs] of Object.entries(await plain.readRuns())) {
        totals.set(job, (totals.get(job) ?? 0) + runs);
      }
    }
    return totals;
  }

  /** Ends all processes and removes the settings files. */
  async stop(): Promise<void> {
    const { engines, plainServices, routers, folder } = this.parts;
    const { platform, proxy } = this.parts;
    this.#end.abort();
    const parts = [platform, ...engines, ...plainServices, ...routers];
    await Promise.all(parts.map((part) => part.process.ended));
    await proxy?.process.ended;
    await rm(folder, { recursive: true, force: true });
  }
}

/** Starts a fleet; all of it ends when the signal aborts or this fails. */
export async function startFleet(
  changes: Partial<FleetOptions>,
  signal: AbortSignal,
): Promise<Fleet> {
  const end = new AbortController();
  // Each process listens for the end of the fleet.
  setMaxListeners(0, end.signal);
  signal.addEventListener("abort", () => end.abort(), { once: true });
  const folder = await mkdtemp(join(tmpdir(), FOLDER_PREFIX));
  end.signal.addEventListener(
    "abort",
    () => void rm(folder, { recursive: true, force: true }),
    { once: true },
  );
  try {
    const options = createFleetOptions(changes);
    const parts = await startParts({ options, folder }, end.signal);
    return new Fleet(parts, end);
  } catch (error) {
    end.abort();
    throw error;
  }
}

async function startParts(
  context: { options: FleetOptions; folder: string },
  signal: AbortSignal,
): Promise<FleetParts> {
  const { options } = context;
  const plans = await buildRouterPlans(options);
  const [platform, proxy, engines, plainServices] = await Promise.all([
    startPlatform(options.platform, signal),
    options.proxied ? startProxy(signal) : undefined,
    Promise.all(
      buildEnginePlans(options).map((plan) => startEngine(plan, signal)),
    ),
    Promise.all(
      buildPlainPlans(options).map((plan) => startPlain(plan, signal)),
    ),
  ]);
  const network = new FleetNetwork(proxy, plans);
  const configurator = new FleetConfigurator(
    { platformUrl: platform.url, seed: options.seed },
    signal,
  );
  await configurator.append(buildFleetOperations(options, {
    engines: await listExposed(network, engines),
    plainServices: await listExposed(network, plainServices),
  }));
  const routers = await startRouters(
    { ...context, plans, network, platform },
    signal,
  );
  return {
    ...context,
    platform,
    proxy,
    engines,
    plainServices,
    routers,
    network,
    configurator,
  };
}

async function listExposed(
  network: FleetNetwork,
  endpoints: readonly FleetEndpoint[],
): Promise<ExposedEndpoint[]> {
  const exposed: ExposedEndpoint[] = [];
  for (const endpoint of endpoints) {
    const url = await network.exposeEndpoint(endpoint);
    exposed.push({ endpoint, url });
  }
  return exposed;
}

async function startRouters(
  context: {
    options: FleetOptions;
    folder: string;
    plans: readonly RouterPlan[];
    network: FleetNetwork;
    platform: FleetPlatform;
  },
  signal: AbortSignal,
): Promise<FleetRouter[]> {
  const { plans, network, platform, folder, options } = context;
  const places: RouterPlace[] = [];
  for (const plan of plans) {
    const address = await network.exposeRouter(plan);
    const platformUrl = await network.exposePlatform(plan, platform.port);
    places.push({ plan, address, platformUrl });
    await platform.registerVm({ vm: plan.vm, zone: plan.zone, ...address });
  }
  const routers: FleetRouter[] = [];
  for (const place of places) {
    const settings = { folder, fleet: options, peers: places };
    const settingsFile = await writeRouterSettings(place, settings);
    const program = options.routerProgram;
    const router = { program, settingsFile };
    routers.push(new FleetRouter(place.plan, router, signal));
  }
  for (const router of routers) {
    router.start();
  }
  await Promise.all(routers.map((router) => router.waitUntilReady()));
  return routers;
}
