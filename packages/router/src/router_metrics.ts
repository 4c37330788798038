/** The router's metrics for Prometheus. */

import type { Clock } from "@rattanvane/base";
import { Counter, Registry } from "prom-client";
import {
  type GaugeSources,
  registerCurrentGauges,
} from "./metrics/current_gauges.ts";
import { IngressMetrics } from "./metrics/ingress_metrics.ts";
import {
  registerEndpointGauges,
  SchedulerMetrics,
} from "./metrics/scheduler_metrics.ts";

/** All metrics of one router. */
export class RouterMetrics {
  readonly registry = new Registry();
  readonly ingress: IngressMetrics;
  readonly scheduler: SchedulerMetrics;
  /** Calls of the platform that failed with all their retries, by kind. */
  readonly platformFailures: Counter<"kind">;

  constructor(clock: Clock) {
    this.ingress = new IngressMetrics(this.registry, clock);
    this.scheduler = new SchedulerMetrics(this.registry);
    this.platformFailures = new Counter({
      name: "rattanvane_platform_failures_total",
      help: "Calls of the platform that failed with their retries, by kind.",
      labelNames: ["kind"],
      registers: [this.registry],
    });
  }

  /** Adds the values that the router's other parts hold. */
  registerGauges(sources: GaugeSources): void {
    registerCurrentGauges(this.registry, sources);
    registerEndpointGauges(this.registry, sources.listPools);
  }
}
