/** Polls load reports from the endpoints that this VM schedules. */

import { ChildAbort, type Clock, type RandomSource } from "@rattanvane/base";
import type { Endpoint, FleetConfiguration } from "@rattanvane/configuration";
import { type EndpointClient, EndpointErrorKind } from "@rattanvane/platform";
import type { PoolId } from "@rattanvane/protocol";
import type { PoolScheduler } from "@rattanvane/scheduling";

/** Jitter: the delay between polls is between 0.5 and 1.5 periods. */
const MINIMUM_PERIOD_FRACTION = 0.5;

/** Settings and dependencies of the poller. */
export interface LoadPollerOptions {
  client: EndpointClient;
  clock: Clock;
  random: RandomSource;
  periodMilliseconds: number;
}

/** The receiver of the reports and the source of the endpoints. */
export interface LoadPollerTarget {
  scheduler: PoolScheduler;
  findConfiguration: () => FleetConfiguration | undefined;
}

/**
 * Polls the endpoints of pools. Each endpoint has its own task, so that a slow
 * one does not delay the others.
 */
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
      this.#startMissingTasks(endpoints, { tasks, target }, signal);
      stopRemovedTasks(endpoints, tasks);
      await clock.sleep(periodMilliseconds, signal);
    }
  }

  #startMissingTasks(
    endpoints: readonly Endpoint[],
    context: { tasks: Map<string, ChildAbort>; target: LoadPollerTarget },
    signal: AbortSignal,
  ): void {
    for (const endpoint of endpoints) {
      const key = computeTaskKey(endpoint);
      if (!context.tasks.has(key)) {
        const lifetime = new ChildAbort(signal);
        context.tasks.set(key, lifetime);
        void this.#pollEndpoint(
          endpoint,
          context.target.scheduler,
          lifetime.signal,
        );
      }
    }
  }

  async #pollEndpoint(
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
        // Only a refused connection shows that the endpoint is unreachable; a
        // slow response does not.
        scheduler.markEndpointUnreachable(endpoint.name);
      }
      const jitter = MINIMUM_PERIOD_FRACTION + random.nextFraction();
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

/** Contains the URL, so that an endpoint whose URL changes gets a new task. */
function computeTaskKey(endpoint: Endpoint): string {
  return `${endpoint.name} ${endpoint.url}`;
}

function stopRemovedTasks(
  endpoints: readonly Endpoint[],
  tasks: Map<string, ChildAbort>,
): void {
  const currentKeys = new Set(endpoints.map(computeTaskKey));
  for (const [key, lifetime] of tasks) {
    if (!currentKeys.has(key)) {
      lifetime.abort();
      tasks.delete(key);
    }
  }
}
