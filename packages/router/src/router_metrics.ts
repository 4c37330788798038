/** The router's metrics for Prometheus. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Seconds; dense around the first token's target of 0.31 s. */
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

/** Current values that are read when metrics are collected. */
export interface GaugeSources {
  countWaiting: () => number;
  countRunning: () => number;
  countPools: () => number;
  countUnleasedPools: () => number;
  countLiveVms: () => number;
  readConfigurationVersion: () => number;
  readSentBytes: () => number;
  readReceivedBytes: () => number;
}

/** All metrics of one router. */
export class RouterMetrics {
  readonly registry = new Registry();
  /** Attempts by service and outcome. */
  readonly attempts: Counter<"service" | "outcome">;
  /** Time from sending an attempt to the first part of its answer. */
  readonly firstByte: Histogram<"service">;
  /** Cost units by organisation and service. */
  readonly cost: Counter<"organisation" | "service">;
  /** Errors that callers were given, by kind. */
  readonly callerErrors: Counter<"kind">;

  constructor(sources: GaugeSources) {
    const registers = [this.registry];
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
    this.cost = new Counter({
      name: "rattanvane_ingress_cost_units_total",
      help: "Service received, by organisation and service.",
      labelNames: ["organisation", "service"],
      registers,
    });
    this.callerErrors = new Counter({
      name: "rattanvane_ingress_errors_total",
      help: "Errors that callers were given, by kind.",
      labelNames: ["kind"],
      registers,
    });
    this.#registerGauges(sources);
  }

  #registerGauges(sources: GaugeSources): void {
    const gauges = [
      {
        name: "rattanvane_ingress_waiting_requests",
        help: "Requests that wait for a grant at this VM.",
        read: sources.countWaiting,
      },
      {
        name: "rattanvane_ingress_running_requests",
        help: "Requests of this VM that run at an endpoint.",
        read: sources.countRunning,
      },
      {
        name: "rattanvane_scheduler_pools_count",
        help: "Pools that this VM schedules.",
        read: sources.countPools,
      },
      {
        name: "rattanvane_scheduler_unleased_pools_count",
        help: "Pools that this VM schedules without a lease of the platform.",
        read: sources.countUnleasedPools,
      },
      {
        name: "rattanvane_membership_live_vms_count",
        help: "VMs of the own zone that are believed to be live.",
        read: sources.countLiveVms,
      },
      {
        name: "rattanvane_configuration_version_number",
        help: "Version of the configuration in force; 0 when there is none.",
        read: sources.readConfigurationVersion,
      },
      {
        name: "rattanvane_protocol_sent_bytes",
        help: "Bytes of control messages sent since the start.",
        read: sources.readSentBytes,
      },
      {
        name: "rattanvane_protocol_received_bytes",
        help: "Bytes of control messages received since the start.",
        read: sources.readReceivedBytes,
      },
    ];
    for (const { name, help, read } of gauges) {
      new Gauge({
        name,
        help,
        registers: [this.registry],
        collect() {
          this.set(read());
        },
      });
    }
  }
}
