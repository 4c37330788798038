/** Reads the load reports of the endpoints that this VM schedules. */

import { ChildAbort, type Clock, type RandomSource } from "@rattanvane/base";
import type { Endpoint, FleetConfiguration } from "@rattanvane/configuration";
import { type EndpointClient, EndpointErrorKind } from "@rattanvane/platform";
import type { PoolId } from "@rattanvane/protocol";
import type { PoolScheduler } from "@rattanvane/scheduling";

/** Polls come at a random time between half a period and one and a half. */
const LEAST_PERIOD_SHARE = 0.5;

/** What the poller works with. */
export interface LoadPollerOptions {
  client: EndpointClient;
  clock: Clock;
  random: RandomSource;
  periodMilliseconds: number;
}

/** Whom the reports are for, and which endpoints there are. */
export interface LoadPollerTarget {
  scheduler: PoolScheduler;
  findConfiguration: () => FleetConfiguration | undefined;
}

/** One task for each endpoint of a pool, so that a slow one delays no other. */
export class LoadPoller {
  readonly #options: LoadPollerOptions;

  constructor(options: LoadPollerOptions) {
    this.#options = options;
  }

  /** Polls the endpoints of a pool until the signal aborts. */
  async run(
    pool: PoolId,
    target: LoadPollerTarget,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, periodMilliseconds } = this.#options;
    const tasks = new Map<string, ChildAbort>();
    while (!signal.aborted) {
      const endpoints = listPoolEndpoints(pool, target.findConfiguration());
      this.#startMissing(endpoints, { tasks, target }, signal);
      stopRemoved(endpoints, tasks);
      await clock.sleep(periodMilliseconds, signal);
    }
  }

  #startMissing(
    endpoints: readonly Endpoint[],
    context: { tasks: Map<string, ChildAbort>; target: LoadPollerTarget },
    signal: AbortSignal,
  ): void {
    for (const endpoint of endpoints) {
      const key = computeTaskKey(endpoint);
      if (!context.tasks.has(key)) {
        const lifetime = new ChildAbort(signal);
        context.tasks.set(key, lifetime);
        void this.#poll(endpoint, context.target.scheduler, lifetime.signal);
      }
    }
  }

  async #poll(
    endpoint: Endpoint,
    scheduler: PoolScheduler,
    signal: AbortSignal,
  ): Promise<void> {
    const { client, clock, random, periodMilliseconds } = this.#options;
    const address = { endpoint: endpoint.name, url: endpoint.url };
    while (!signal.aborted) {
      const report = await client.readLoad(address, signal);
      if (signal.aborted) {
        return;
      }
      if (report.isOk()) {
        scheduler.receiveLoad(endpoint.name, report.value);
      } else if (report.error.kind === EndpointErrorKind.NotSent) {
        // Only a refused connection says anything; a slow answer does not.
        scheduler.markEndpointUnreachable(endpoint.name);
      }
      const jitter = LEAST_PERIOD_SHARE + random.nextFraction();
      await clock.sleep(periodMilliseconds * jitter, signal);
    }
  }
}

function listPoolEndpoints(
  pool: PoolId,
  configuration: FleetConfiguration | undefined,
): Endpoint[] {
  return [...(configuration?.endpoints.values() ?? [])].filter((endpoint) =>
    endpoint.zone === pool.zone && endpoint.service === pool.service
  );
}

/** An endpoint that moved to another URL gets another task. */
function computeTaskKey(endpoint: Endpoint): string {
  return `${endpoint.name} ${endpoint.url}`;
}

function stopRemoved(
  endpoints: readonly Endpoint[],
  tasks: Map<string, ChildAbort>,
): void {
  const wanted = new Set(endpoints.map(computeTaskKey));
  for (const [key, lifetime] of tasks) {
    if (!wanted.has(key)) {
      lifetime.abort();
      tasks.delete(key);
    }
  }
}
