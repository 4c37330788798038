/** Probes endpoints that are down until they are reachable again. */

import { type Clock, describeError, type Logger } from "@rattanvane/base";
import type { EndpointState } from "./endpoint_state.ts";
import type { ServiceScheduler } from "./service_scheduler.ts";

const PROBE_PERIOD_MILLISECONDS = 400;
/** How often a VM that does not probe checks whether it has to. */
const IDLE_PERIOD_MILLISECONDS = 2_000;
const PROBE_TIMEOUT_MILLISECONDS = 600;

/** Requests an endpoint's health; resolves to true if it is healthy. */
export type CheckHealth = (
  endpoint: EndpointState,
  path: string,
  signal: AbortSignal,
) => Promise<boolean>;

/** A service whose endpoints are probed. */
export interface ProbedService {
  scheduler: ServiceScheduler;
  healthPath: string;
}

/** Dependencies of the prober. */
export interface EndpointProberOptions {
  clock: Clock;
  logger: Logger;
  /** Whether this VM probes; the others learn of it from schedulers. */
  isScheduler: () => boolean;
  listServices: () => Iterable<ProbedService>;
  checkHealth: CheckHealth;
}

/**
 * Sends health requests to endpoints that are down, and to no others: requests
 * are not placed on them, so that no response would show their recovery.
 */
export class EndpointProber {
  readonly #options: EndpointProberOptions;
  readonly #pendingProbes = new Set<EndpointState>();

  constructor(options: EndpointProberOptions) {
    this.#options = options;
  }

  /** Probes endpoints periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#options.isScheduler()) {
        for (const service of this.#options.listServices()) {
          this.#probeDownEndpoints(service, signal);
        }
      }
      const period = this.#options.isScheduler()
        ? PROBE_PERIOD_MILLISECONDS
        : IDLE_PERIOD_MILLISECONDS;
      await this.#options.clock.sleep(period, signal);
    }
  }

  #probeDownEndpoints(service: ProbedService, signal: AbortSignal): void {
    for (const endpoint of service.scheduler.listEndpoints()) {
      const isDue = endpoint.isOpen && endpoint.coldStart.isDown &&
        endpoint.hasRateCapacity && !this.#pendingProbes.has(endpoint);
      if (isDue) {
        this.#pendingProbes.add(endpoint);
        void this.#runProbe(endpoint, service, signal);
      }
    }
  }

  /** One endpoint that cannot be probed must not end the process. */
  async #runProbe(
    endpoint: EndpointState,
    service: ProbedService,
    signal: AbortSignal,
  ): Promise<void> {
    try {
      await this.#probe(endpoint, service, signal);
    } catch (thrown) {
      this.#options.logger.warn("an endpoint could not be probed", {
        endpoint: endpoint.record.id,
        zone: endpoint.record.zone,
        reason: describeError(thrown),
      });
    } finally {
      this.#pendingProbes.delete(endpoint);
    }
  }

  async #probe(
    endpoint: EndpointState,
    { scheduler, healthPath }: ProbedService,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, logger, checkHealth } = this.#options;
    const sentAt = clock.now();
    endpoint.recordArrival();
    const probeSignal = AbortSignal.any([
      signal,
      AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS),
    ]);
    if (!await checkHealth(endpoint, healthPath, probeSignal)) {
      return;
    }
    endpoint.coldStart.recordAnswer(sentAt, scheduler.coldBound);
    logger.info("endpoint is reachable again", {
      endpoint: endpoint.record.id,
      zone: endpoint.record.zone,
      isDown: endpoint.coldStart.isDown,
    });
  }
}
