/** Counters and histograms of forwarded requests. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { ForwardedCall } from "../model/call.ts";
import type { AttemptOutcome } from "../model/attempt_outcome.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS_BUCKETS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.6,
  1,
  2,
  4,
  8,
  16,
];

/** What became of a request. */
export enum FinalResult {
  Answered = "answered",
  Refused = "refused",
  /** Attempts were made, but none ran. */
  NotRun = "notRun",
  Unknown = "unknown",
  StreamCut = "streamCut",
  TimedOut = "timedOut",
}

/** Reads values when metrics are collected. */
export interface ForwardingGauges {
  countWaiting: () => number;
  countRunning: () => number;
  readConfigurationVersion: () => number;
  computeConfigurationAgeSeconds: () => number;
  countPeers: () => number;
}

/** The metrics of one VM. */
export class ForwardingMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter<"service" | "result">;
  readonly #attempts: Counter<"service" | "outcome">;
  readonly #rejections: Counter<"reason">;
  readonly #durations: Histogram<"service">;
  readonly #firstBytes: Histogram<"service">;

  constructor() {
    const registers = [this.registry];
    this.#requests = new Counter({
      name: "rattanvane_forwarding_requests_total",
      help: "Requests that ended, by service and result.",
      labelNames: ["service", "result"],
      registers,
    });
    this.#attempts = new Counter({
      name: "rattanvane_forwarding_attempts_total",
      help: "Attempts that ended, by service and outcome.",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#rejections = new Counter({
      name: "rattanvane_forwarding_rejections_total",
      help: "Requests that were not admitted, by reason.",
      labelNames: ["reason"],
      registers,
    });
    this.#durations = new Histogram({
      name: "rattanvane_forwarding_request_seconds",
      help: "The time from a request's head to its end.",
      labelNames: ["service"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.#firstBytes = new Histogram({
      name: "rattanvane_forwarding_first_byte_seconds",
      help: "The time from an attempt's start to the answer's first byte.",
      labelNames: ["service"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
  }

  recordAttempt(call: ForwardedCall, outcome: AttemptOutcome): void {
    const { service } = call;
    this.#attempts.inc({ service, outcome: outcome.kind });
    if (outcome.firstMilliseconds !== undefined) {
      const seconds = outcome.firstMilliseconds / MILLISECONDS_PER_SECOND;
      this.#firstBytes.observe({ service }, seconds);
    }
  }

  recordResult(
    call: ForwardedCall,
    end: { result: FinalResult; milliseconds: number },
  ): void {
    const { service } = call;
    this.#requests.inc({ service, result: end.result });
    const seconds = end.milliseconds / MILLISECONDS_PER_SECOND;
    this.#durations.observe({ service }, seconds);
  }

  recordRejection(reason: string): void {
    this.#rejections.inc({ reason });
  }

  /** Adds values that are read when metrics are collected. */
  registerGauges(gauges: ForwardingGauges): void {
    this.#addGauge("waiting_requests", "Requests that wait for an endpoint.", {
      read: gauges.countWaiting,
    });
    this.#addGauge("running_attempts", "Attempts of this VM at endpoints.", {
      read: gauges.countRunning,
    });
    this.#addGauge("configuration_version", "The configuration in force.", {
      read: gauges.readConfigurationVersion,
    });
    this.#addGauge(
      "configuration_age_seconds",
      "How long ago the configuration was known to be current.",
      { read: gauges.computeConfigurationAgeSeconds },
    );
    this.#addGauge("live_peers", "Other VMs that were heard of lately.", {
      read: gauges.countPeers,
    });
  }

  #addGauge(
    name: string,
    help: string,
    { read }: { read: () => number },
  ): void {
    new Gauge({
      name: `rattanvane_forwarding_${name}`,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
