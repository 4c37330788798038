/** The Prometheus metrics of a router. */

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
  /** Platform calls that failed after all retries, by kind. */
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

  /** Registers gauges that read the current values of other components. */
  registerGauges(sources: GaugeSources): void {
    registerCurrentGauges(this.registry, sources);
    registerEndpointGauges(this.registry, sources.listPools);
  }
}
