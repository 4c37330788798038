/** Metrics of the scheduler role. */

import {
  type PlacementReason,
  type PoolId,
  type RefusalReason,
} from "@rattanvane/protocol";
import { PoolObserver, type PoolStatus } from "@rattanvane/scheduling";
import { Counter, Gauge, Histogram, type Registry } from "prom-client";

const MILLISECONDS_PER_SECOND = 1_000;

const WAITING_BUCKETS_SECONDS = [0.001, 0.01, 0.1, 0.5, 1, 5, 15, 60, 300, 900];

/** Counts the grants and refusals of the schedulers on this VM. */
export class SchedulerMetrics extends PoolObserver {
  readonly #grants: Counter<"service" | "reason">;
  readonly #waiting: Histogram<"service">;
  readonly #refusals: Counter<"service" | "reason">;

  constructor(registry: Registry) {
    super();
    const registers = [registry];
    this.#grants = new Counter({
      name: "rattanvane_scheduler_grants_total",
      help: "Granted attempts, by service and reason of the placement.",
      labelNames: ["service", "reason"],
      registers,
    });
    this.#waiting = new Histogram({
      name: "rattanvane_scheduler_waiting_seconds",
      help: "Time from the arrival at the scheduler to the grant.",
      labelNames: ["service"],
      buckets: WAITING_BUCKETS_SECONDS,
      registers,
    });
    this.#refusals = new Counter({
      name: "rattanvane_scheduler_refusals_total",
      help: "Requests that schedulers refused, by service and reason.",
      labelNames: ["service", "reason"],
      registers,
    });
  }

  override recordGrant(
    { service }: PoolId,
    grant: { reason: PlacementReason; waitedMilliseconds: number },
  ): void {
    this.#grants.inc({ service, reason: grant.reason });
    const seconds = grant.waitedMilliseconds / MILLISECONDS_PER_SECOND;
    this.#waiting.observe({ service }, seconds);
  }

  override recordRefusal({ service }: PoolId, reason: RefusalReason): void {
    this.#refusals.inc({ service, reason });
  }
}

/** Registers gauges for the endpoints of the pools that this VM schedules. */
export function registerEndpointGauges(
  registry: Registry,
  listPools: () => PoolStatus[],
): void {
  const registers = [registry];
  const labelNames = ["service", "endpoint"] as const;
  new Gauge({
    name: "rattanvane_scheduler_endpoint_limit_requests",
    help: "Requests that an endpoint is sent at once at most.",
    labelNames,
    registers,
    collect() {
      this.reset();
      for (const { service, endpoint, status } of listEndpoints(listPools())) {
        this.set({ service, endpoint }, status.limit);
      }
    },
  });
  new Gauge({
    name: "rattanvane_scheduler_endpoint_outstanding_requests",
    help: "Requests that run at an endpoint by its scheduler's count.",
    labelNames,
    registers,
    collect() {
      this.reset();
      for (const { service, endpoint, status } of listEndpoints(listPools())) {
        this.set({ service, endpoint }, status.outstanding);
      }
    },
  });
  new Gauge({
    name: "rattanvane_scheduler_endpoint_state_count",
    help: "1 for the state that an endpoint is in: up, down or halfOpen.",
    labelNames: [...labelNames, "state"] as const,
    registers,
    collect() {
      this.reset();
      for (const { service, endpoint, status } of listEndpoints(listPools())) {
        this.set({ service, endpoint, state: status.state }, 1);
      }
    },
  });
}

function listEndpoints(pools: PoolStatus[]) {
  return pools.flatMap(({ pool, endpoints }) =>
    endpoints.map((status) => ({
      service: pool.service,
      endpoint: status.endpoint,
      status,
    }))
  );
}
