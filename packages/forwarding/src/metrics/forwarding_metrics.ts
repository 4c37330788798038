/** The Prometheus metrics of forwarded requests. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { ForwardedCall } from "../model/call.ts";
import {
  AnswerFraming,
  type AttemptOutcome,
  type OutcomeKind,
} from "../model/attempt_outcome.ts";
import { computeCost } from "../model/call.ts";
import type { EndpointPhase } from "../model/endpoint_record.ts";
import type { PlaceEvent } from "../scheduling/kept_places.ts";
import { RequestSizes, SizeRank } from "./request_sizes.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Upper bounds of the histogram buckets. */
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

/** Further versions of endpoints are not counted one by one. */
const MAX_VERSIONS = 32;

/** How a request ended. */
export enum FinalResult {
  Answered = "answered",
  Refused = "refused",
  /** Attempts were made, but no endpoint ran the request. */
  NotRun = "notRun",
  /** An endpoint may have run the request, but gave no complete answer. */
  Unknown = "unknown",
  /** The stream was aborted after its first event. */
  StreamCut = "streamCut",
  TimedOut = "timedOut",
}

/** Functions that are called for the current values at each collection. */
export interface ForwardingGauges {
  countWaiting: () => number;
  countRunning: () => number;
  readConfigurationVersion: () => number;
  computeConfigurationAgeSeconds: () => number;
  countQuarantinedParts: () => number;
  countPeers: () => number;
  countMembers: () => number;
  countSchedulerRoles: () => number;
  countHeldRemovals: () => number;
  countCallerBytes: () => number;
  countSlowEndpoints: () => number;
  countRollouts: () => number;
  countOwnedRollouts: () => number;
}

/** Records the metrics of one VM in its own registry. */
export class ForwardingMetrics {
  readonly registry = new Registry();
  readonly #requests: Counter<"service" | "result">;
  readonly #sizedRequests: Counter<"service" | "size" | "result">;
  readonly #sizes = new RequestSizes();
  readonly #attempts: Counter<"service" | "outcome">;
  readonly #versionAttempts: Counter<"service" | "version" | "outcome">;
  /** The versions that are counted. */
  readonly #versions = new Set<string>();
  readonly #unframedAnswers: Counter<"service" | "outcome">;
  readonly #leavingResponses: Counter<"service" | "registered">;
  readonly #otherZoneAttempts: Counter<"service">;
  readonly #rejections: Counter<"reason">;
  readonly #connections: Counter<"event">;
  readonly #hedges: Counter<"service" | "result">;
  readonly #releasedCallers: Counter<"kind">;
  readonly #places: Counter<"event">;
  readonly #durations: Histogram<"service">;
  readonly #firstBytes: Histogram<"service">;
  readonly #turns: Histogram;

  constructor() {
    const registers = [this.registry];
    this.#requests = new Counter({
      name: "rattanvane_forwarding_requests_total",
      help: "Requests that ended, by service and result.",
      labelNames: ["service", "result"],
      registers,
    });
    this.#sizedRequests = new Counter({
      name: "rattanvane_forwarding_sized_requests_total",
      help:
        "Requests with a prompt that ended, by their size among those of their route.",
      labelNames: ["service", "size", "result"],
      registers,
    });
    this.#attempts = new Counter({
      name: "rattanvane_forwarding_attempts_total",
      help: "Attempts that ended, by service and outcome.",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#versionAttempts = new Counter({
      name: "rattanvane_forwarding_version_attempts_total",
      help:
        "Attempts that ended, by the endpoint's version, of services with a roll-out.",
      labelNames: ["service", "version", "outcome"],
      registers,
    });
    this.#unframedAnswers = new Counter({
      name: "rattanvane_forwarding_unframed_answers_total",
      help: "Attempts whose answer ends with its connection, by outcome.",
      labelNames: ["service", "outcome"],
      registers,
    });
    this.#leavingResponses = new Counter({
      name: "rattanvane_forwarding_leaving_responses_total",
      help:
        "Responses of endpoints that announced their shutdown, by registered phase.",
      labelNames: ["service", "registered"],
      registers,
    });
    this.#otherZoneAttempts = new Counter({
      name: "rattanvane_forwarding_other_zone_attempts_total",
      help:
        "Attempts at endpoints of other zones, where leaving the zone has a cost.",
      labelNames: ["service"],
      registers,
    });
    this.#rejections = new Counter({
      name: "rattanvane_forwarding_rejections_total",
      help: "Requests that were not admitted, by reason.",
      labelNames: ["reason"],
      registers,
    });
    this.#connections = new Counter({
      name: "rattanvane_forwarding_connections_total",
      help: "Callers' connections, by what happened to them.",
      labelNames: ["event"],
      registers,
    });
    this.#hedges = new Counter({
      name: "rattanvane_forwarding_hedged_attempts_total",
      help: "Second attempts of slow requests, or why there was none.",
      labelNames: ["service", "result"],
      registers,
    });
    this.#releasedCallers = new Counter({
      name: "rattanvane_forwarding_released_callers_total",
      help: "Requests given up because callers' bytes took too much memory.",
      labelNames: ["kind"],
      registers,
    });
    this.#places = new Counter({
      name: "rattanvane_forwarding_kept_places_total",
      help: "Places for refused callers, by what happened to them.",
      labelNames: ["event"],
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
    this.#turns = new Histogram({
      name: "rattanvane_forwarding_event_loop_turn_seconds",
      help: "How long the event loop took for a turn with requests.",
      buckets: SECONDS_BUCKETS,
      registers,
    });
  }

  /** Counts an attempt and its time to the first byte, if it had one. */
  recordAttempt(call: ForwardedCall, outcome: AttemptOutcome): void {
    const { service } = call;
    this.#attempts.inc({ service, outcome: outcome.kind });
    if (outcome.framing === AnswerFraming.Connection) {
      this.#unframedAnswers.inc({ service, outcome: outcome.kind });
    }
    if (outcome.firstMilliseconds !== undefined) {
      const seconds = outcome.firstMilliseconds / MILLISECONDS_PER_SECOND;
      this.#firstBytes.observe({ service }, seconds);
    }
  }

  /** Counts an attempt at an endpoint of another zone. */
  recordOtherZoneAttempt({ service }: ForwardedCall): void {
    this.#otherZoneAttempts.inc({ service });
  }

  /** Counts an attempt at a version of a service that has a roll-out. */
  recordVersionAttempt(
    { service }: ForwardedCall,
    { version, outcome }: { version: string; outcome: OutcomeKind },
  ): void {
    const isCounted = this.#versions.has(version) ||
      this.#versions.size < MAX_VERSIONS;
    if (isCounted) {
      this.#versions.add(version);
      this.#versionAttempts.inc({ service, version, outcome });
    }
  }

  /**
   * Counts a response that announces its endpoint's shutdown, by the phase in
   * which the endpoint was registered at that time.
   */
  recordLeavingResponse(
    { service }: ForwardedCall,
    phase: EndpointPhase | undefined,
  ): void {
    this.#leavingResponses.inc({ service, registered: phase ?? "unknown" });
  }

  /**
   * Counts a request that ended, and its duration in milliseconds. Returns the
   * rank of its size; undefined for a request without a prompt.
   */
  recordResult(
    call: ForwardedCall,
    completion: { result: FinalResult; milliseconds: number },
  ): SizeRank | undefined {
    const { service } = call;
    const { result } = completion;
    this.#requests.inc({ service, result });
    const seconds = completion.milliseconds / MILLISECONDS_PER_SECOND;
    this.#durations.observe({ service }, seconds);
    if (call.identity.prompt === undefined) {
      return undefined;
    }
    const size = this.#sizes.rank(call.route.name, computeCost(call));
    this.#sizedRequests.inc({ service, size, result });
    return size;
  }

  /** Forgets the sizes of requests on routes that no longer exist. */
  retainRoutes(routes: ReadonlySet<string>): void {
    this.#sizes.retain(routes);
  }

  /** Counts a request that was not admitted. */
  recordRejection(reason: string): void {
    this.#rejections.inc({ reason });
  }

  /** Counts a connection that was accepted, or that ended unread. */
  recordConnection(event: string): void {
    this.#connections.inc({ event });
  }

  /** Counts a second attempt by its result, or by what kept it back. */
  recordHedge({ service }: ForwardedCall, result: string): void {
    this.#hedges.inc({ service, result });
  }

  /** Counts a request that was given up for the memory that it held. */
  recordReleasedCaller(kind: string): void {
    this.#releasedCallers.inc({ kind });
  }

  /** Counts a place that was kept for a refused caller, or taken by one. */
  recordPlace(event: PlaceEvent): void {
    this.#places.inc({ event });
  }

  /** Records the length of a turn of the event loop, in milliseconds. */
  recordTurn(milliseconds: number): void {
    this.#turns.observe(milliseconds / MILLISECONDS_PER_SECOND);
  }

  /** Adds the gauges, whose values are read at each collection. */
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
    this.#addGauge(
      "quarantined_parts",
      "Prompt parts whose requests are refused because engines crashed.",
      { read: gauges.countQuarantinedParts },
    );
    this.#addGauge(
      "live_peers",
      "Other schedulers that sent their state recently.",
      { read: gauges.countPeers },
    );
    this.#addGauge("members", "Other VMs whose requests this VM schedules.", {
      read: gauges.countMembers,
    });
    this.#addGauge("scheduler_role", "1 if this VM is a scheduler, else 0.", {
      read: gauges.countSchedulerRoles,
    });
    this.#addGauge(
      "held_removals",
      "Endpoints whose removal is held back after an outage of the store.",
      { read: gauges.countHeldRemovals },
    );
    this.#addGauge(
      "caller_bytes",
      "Bytes of bodies, and of answers that callers have not taken.",
      { read: gauges.countCallerBytes },
    );
    this.#addGauge(
      "slow_endpoints",
      "Endpoints that report that work takes twice the usual time or longer.",
      { read: gauges.countSlowEndpoints },
    );
    this.#addGauge("rollouts", "Services whose version is being moved.", {
      read: gauges.countRollouts,
    });
    this.#addGauge(
      "owned_rollouts",
      "The part of them that this VM leads.",
      { read: gauges.countOwnedRollouts },
    );
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
