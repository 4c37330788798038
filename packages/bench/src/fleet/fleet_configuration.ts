/** Puts a fleet's configuration through the platform's table. */

import process from "node:process";
import { RandomSource, SystemClock } from "@rattanvane/base";
import {
  type Change,
  ConfigurationLog,
  LogWriter,
  type Operation,
  OperationKind,
  ServiceKind,
} from "@rattanvane/configuration";
import {
  DEFAULT_FLEET_RATES,
  HttpObjectStore,
  HttpTableService,
  PlatformBudget,
  PlatformTransport,
} from "@rattanvane/platform";
import { BenchError, BenchErrorKind } from "../common/bench_error.ts";
import type { FleetEndpoint } from "./fleet_endpoint.ts";
import {
  type EndpointLimits,
  type FleetOptions,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "./fleet_options.ts";
import { hashKey } from "./router_settings_file.ts";

const AUTHOR = "bench";
const MODEL_COST_ESTIMATE = 64;
const PLAIN_COST_ESTIMATE = 1;

/** Appends changes to the fleet's configuration, as an operator would. */
export class FleetConfigurator {
  readonly #writer: LogWriter;
  readonly #signal: AbortSignal;
  #changes = 0;

  constructor(
    options: { platformUrl: string; seed: number },
    signal: AbortSignal,
  ) {
    const clock = new SystemClock();
    const random = new RandomSource(options.seed);
    const budget = new PlatformBudget(DEFAULT_FLEET_RATES, { clock, random });
    const transport = new PlatformTransport(
      { url: options.platformUrl, clock, random, budget },
      signal,
    );
    const table = new HttpTableService(transport);
    const log = new ConfigurationLog(table, new HttpObjectStore(transport));
    this.#signal = signal;
    this.#writer = new LogWriter({
      log,
      table,
      clock,
      random,
      createId: () => `${AUTHOR}-${process.pid}-${++this.#changes}`,
    });
  }

  /** Has operations accepted; throws when they are not. */
  async append(operations: Operation[]): Promise<Change> {
    const accepted = await this.#writer.append(
      { author: AUTHOR, operations },
      this.#signal,
    );
    if (accepted.isErr()) {
      throw new BenchError(
        BenchErrorKind.Configuration,
        accepted.error.map((error) => error.message).join("; "),
      );
    }
    return accepted.value;
  }
}

/** An endpoint with the URL that the routers use. */
export interface ExposedEndpoint {
  endpoint: FleetEndpoint;
  url: string;
}

/** Builds the operations that configure a whole new fleet. */
export function buildFleetOperations(
  options: FleetOptions,
  endpoints: {
    engines: readonly ExposedEndpoint[];
    plainServices: readonly ExposedEndpoint[];
  },
): Operation[] {
  return [
    ...buildServiceOperations(),
    ...options.zones.map((name) => ({
      kind: OperationKind.PutZone as const,
      zone: { name, region: options.region, drained: false },
    })),
    ...endpoints.engines.map((engine) =>
      buildEndpointOperation(engine, {
        service: MODEL_SERVICE,
        limits: options.engineLimits,
      })
    ),
    ...endpoints.plainServices.map((plain) =>
      buildEndpointOperation(plain, {
        service: PLAIN_SERVICE,
        limits: options.plainLimits,
      })
    ),
    ...options.organisations.map((organisation) => ({
      kind: OperationKind.PutOrganisation as const,
      organisation: {
        name: organisation.name,
        weight: organisation.weight,
        keyHashes: [hashKey(organisation.key)],
        services: [MODEL_SERVICE, PLAIN_SERVICE],
        queueLimit: organisation.queueLimit,
      },
    })),
  ];
}

function buildServiceOperations(): Operation[] {
  return [
    {
      kind: OperationKind.PutService,
      service: {
        name: MODEL_SERVICE,
        kind: ServiceKind.Model,
        repeatRules: [],
        initialCostEstimate: MODEL_COST_ESTIMATE,
      },
    },
    {
      kind: OperationKind.PutService,
      service: {
        name: PLAIN_SERVICE,
        kind: ServiceKind.Plain,
        repeatRules: [
          { method: "POST", pathPrefix: "/", repeatable: false },
          { method: "*", pathPrefix: "/", repeatable: true },
        ],
        initialCostEstimate: PLAIN_COST_ESTIMATE,
      },
    },
  ];
}

function buildEndpointOperation(
  { endpoint, url }: ExposedEndpoint,
  { service, limits }: { service: string; limits: EndpointLimits },
): Operation {
  return {
    kind: OperationKind.PutEndpoint,
    endpoint: {
      name: endpoint.name,
      zone: endpoint.zone,
      service,
      url,
      ...limits,
      drained: false,
      checksFencing: false,
    },
  };
}
