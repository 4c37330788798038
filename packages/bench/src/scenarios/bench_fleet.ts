/** The fleet that scenarios load, and the baseline before the same engines. */

import { setMaxListeners } from "node:events";
import type { Clock } from "@rattanvane/base";
import { Agent } from "undici";
import { RoundRobinRouter } from "../baseline/round_robin_router.ts";
import { type Fleet, startFleet } from "../fleet/fleet.ts";
import {
  type FleetOptions,
  type FleetOrganisation,
  MODEL_SERVICE,
} from "../fleet/fleet_options.ts";
import { CompletionCaller } from "../load/completion_caller.ts";
import type { LoadSource } from "../load/load_source.ts";
import type { ServiceMeter } from "../load/service_meter.ts";

/** Slots of each engine once it is warm. */
export const ENGINE_SLOTS = 8;
const COLD_SLOTS = 2;
const TOKEN_MILLISECONDS = 20;
const WAITING_REQUESTS = 20_000;
const MODERATE_TOKENS = { fewest: 20, most: 60 };

/** One entry VM, or the baseline's router in its place. */
export interface EntryPoint {
  vm: string;
  zone: string;
  url: string;
}

/** A running fleet with its callers' connections. */
export class BenchFleet {
  readonly fleet: Fleet;
  readonly clock: Clock;
  readonly dispatcher = new Agent();
  readonly #signal: AbortSignal;
  readonly #end: AbortController;
  #baseline: RoundRobinRouter[] = [];

  constructor(
    options: { fleet: Fleet; clock: Clock; end: AbortController },
  ) {
    this.fleet = options.fleet;
    this.clock = options.clock;
    this.#end = options.end;
    this.#signal = options.end.signal;
  }

  /** The routers. */
  listRouters(): EntryPoint[] {
    return this.fleet.parts.routers.map(({ vm, zone, callerUrl }) => ({
      vm,
      zone,
      url: callerUrl,
    }));
  }

  /** Starts the baseline's routers, one in each router's place. */
  async startBaseline(): Promise<EntryPoint[]> {
    const { routers, network, engines } = this.fleet.parts;
    const engineUrls = await Promise.all(
      engines.map((engine) => network.exposeEndpoint(engine)),
    );
    const slotsEach = Math.max(1, Math.floor(ENGINE_SLOTS / routers.length));
    const places: EntryPoint[] = [];
    for (const { vm, zone, plan } of routers) {
      const router = new RoundRobinRouter(
        { host: plan.host, engineUrls, slotsEach },
        this.#signal,
      );
      this.#baseline.push(router);
      places.push({ vm, zone, url: await router.start() });
    }
    return places;
  }

  /** Drains zones of the baseline's routers, all at the same moment. */
  async updateBaselineZones(drained: readonly string[]): Promise<void> {
    const { network, engines } = this.fleet.parts;
    const engineUrls = await Promise.all(
      engines.filter((engine) => !drained.includes(engine.zone))
        .map((engine) => network.exposeEndpoint(engine)),
    );
    for (const router of this.#baseline) {
      router.updateEngines(engineUrls);
    }
  }

  /** An organisation's streamed calls of moderate length. */
  createSource(
    organisation: FleetOrganisation,
    options: {
      urls: readonly string[];
      meter?: ServiceMeter;
      headers?: Record<string, string>;
    },
  ): LoadSource {
    const { name, key } = organisation;
    const { urls, meter, headers } = options;
    return {
      caller: new CompletionCaller({
        organisation: name,
        key,
        clock: this.clock,
        dispatcher: this.dispatcher,
        onTokens: (tokens) => meter?.add(name, tokens),
      }),
      urls,
      model: MODEL_SERVICE,
      tokens: MODERATE_TOKENS,
      streamFraction: 1,
      name,
      ...(headers === undefined ? {} : { headers }),
    };
  }

  /** Slot time used at the engines of some zones, in milliseconds. */
  async readSlotMilliseconds(zones?: readonly string[]): Promise<number> {
    let total = 0;
    for (const engine of this.fleet.parts.engines) {
      if (zones === undefined || zones.includes(engine.zone)) {
        total += (await engine.readCounters()).slotMilliseconds;
      }
    }
    return total;
  }

  /** Requests admitted at the engines of some zones. */
  async countStarted(zones: readonly string[]): Promise<number> {
    let total = 0;
    for (const engine of this.fleet.parts.engines) {
      if (zones.includes(engine.zone)) {
        total += (await engine.readCounters()).started;
      }
    }
    return total;
  }

  /** Crashes of engines because they got more than they bore. */
  async countOverloads(): Promise<number> {
    let total = 0;
    for (const engine of this.fleet.parts.engines) {
      total += (await engine.readCounters()).overloads;
    }
    return total;
  }

  /** Ends the fleet and the baseline. */
  async stop(): Promise<void> {
    this.#end.abort();
    await this.dispatcher.destroy();
    await this.fleet.stop();
  }
}

/** Starts a fleet of 3 zones with 2 routers and an engine each, if not changed. */
export async function startBenchFleet(
  options: { clock: Clock; changes: Partial<FleetOptions> },
  signal: AbortSignal,
): Promise<BenchFleet> {
  const end = new AbortController();
  setMaxListeners(0, end.signal);
  signal.addEventListener("abort", () => end.abort(), { once: true });
  const fleet = await startFleet({
    enginesPerZone: 1,
    plainServicesPerZone: 1,
    engine: {
      "slots": ENGINE_SLOTS,
      "cold-slots": COLD_SLOTS,
      "token-ms": TOKEN_MILLISECONDS,
    },
    engineLimits: { coldLimit: COLD_SLOTS, limitCeiling: ENGINE_SLOTS },
    routerSettings: { limits: { waitingRequests: WAITING_REQUESTS } },
    ...options.changes,
  }, end.signal);
  return new BenchFleet({ fleet, clock: options.clock, end });
}
