/** Finds out when an endpoint that was down can be reached again. */

import type { Clock, Logger } from "@rattanvane/base";
import type { EndpointState } from "./endpoint_state.ts";
import type { ServiceScheduler } from "./service_scheduler.ts";

const PERIOD_MILLISECONDS = 400;
const ANSWER_MILLISECONDS = 600;

/** Asks an endpoint for its health; true when it says that it is well. */
export type AskHealth = (
  endpoint: EndpointState,
  path: string,
  signal: AbortSignal,
) => Promise<boolean>;

/** One service whose endpoints are looked after. */
export interface ProbedService {
  scheduler: ServiceScheduler;
  healthPath: string;
}

/** What the prober works with. */
export interface EndpointProberOptions {
  clock: Clock;
  logger: Logger;
  listServices: () => Iterable<ProbedService>;
  askHealth: AskHealth;
}

/**
 * Placement avoids an endpoint that is down, so no request would notice its
 * return. Only such endpoints are asked.
 */
export class EndpointProber {
  readonly #options: EndpointProberOptions;
  readonly #asked = new Set<EndpointState>();

  constructor(options: EndpointProberOptions) {
    this.#options = options;
  }

  /** Asks until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const service of this.#options.listServices()) {
        this.#askDown(service, signal);
      }
      await this.#options.clock.sleep(PERIOD_MILLISECONDS, signal);
    }
  }

  #askDown(service: ProbedService, signal: AbortSignal): void {
    for (const endpoint of service.scheduler.listEndpoints()) {
      const isDue = endpoint.isOpen && endpoint.cold.isDown &&
        !this.#asked.has(endpoint);
      if (isDue) {
        this.#asked.add(endpoint);
        void this.#ask(endpoint, service, signal).finally(() =>
          this.#asked.delete(endpoint)
        );
      }
    }
  }

  async #ask(
    endpoint: EndpointState,
    { scheduler, healthPath }: ProbedService,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, logger, askHealth } = this.#options;
    const sentAt = clock.now();
    endpoint.cold.countArrival();
    const limit = AbortSignal.any([
      signal,
      AbortSignal.timeout(ANSWER_MILLISECONDS),
    ]);
    if (!await askHealth(endpoint, healthPath, limit)) {
      return;
    }
    endpoint.cold.markAnswer(sentAt, scheduler.coldBound);
    logger.info("an endpoint can be reached again", {
      endpoint: endpoint.record.id,
      zone: endpoint.record.zone,
      isDown: endpoint.cold.isDown,
    });
  }
}
