/** Metrics of the ingress role. */

import type { Clock } from "@rattanvane/base";
import { Counter, Histogram, type Registry } from "prom-client";
import { OrganisationCosts } from "./organisation_costs.ts";

/** Has a boundary at 0.31 s, the target for the first token. */
const FIRST_BYTE_BUCKETS_SECONDS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.31,
  0.5,
  1,
  2,
  5,
  10,
  30,
];

/** Counters and histograms that the ingress updates. */
export class IngressMetrics {
  /** Attempts by service and outcome. */
  readonly attempts: Counter<"service" | "outcome">;
  /** Time from sending an attempt to the first part of its response. */
  readonly firstByte: Histogram<"service">;
  /** Cost units by organisation and service. */
  readonly cost: OrganisationCosts;
  /** Errors that were sent to callers, by kind. */
  readonly callerErrors: Counter<"kind">;
  /** Retries after a failed attempt, by service and reason. */
  readonly retries: Counter<"service" | "reason">;
  /** Calls with an idempotency key that callers sent to this VM, by outcome. */
  readonly keyedCalls: Counter<"outcome">;

  constructor(registry: Registry, clock: Clock) {
    const registers = [registry];
    this.cost = new OrganisationCosts(registry, clock);
    this.attempts = new Counter({
      name: "rattanvane_ingress_attempts_total",
      help: "Attempts at endpoints, by service and outcome.",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.firstByte = new Histogram({
      name: "rattanvane_ingress_first_byte_seconds",
      help: "Time from sending an attempt to the first part of its answer.",
      labelNames: ["service"],
      buckets: FIRST_BYTE_BUCKETS_SECONDS,
      registers,
    });
    this.callerErrors = new Counter({
      name: "rattanvane_ingress_errors_total",
      help: "Errors that callers were given, by kind.",
      labelNames: ["kind"],
      registers,
    });
    this.retries = new Counter({
      name: "rattanvane_ingress_retries_total",
      help: "Retries after an attempt that failed, by service and reason.",
      labelNames: ["service", "reason"],
      registers,
    });
    this.keyedCalls = new Counter({
      name: "rattanvane_once_calls_total",
      help: "Keyed calls of callers at this VM, by outcome.",
      labelNames: ["outcome"],
      registers,
    });
  }
}
