/** Registry of the services to which this VM forwards requests. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { EndpointId, ServiceId, ZoneId } from "@rattanvane/protocol";
import type { CrashTracker } from "./state/crash_tracker.ts";
import {
  type DirectoryChange,
  DirectoryChangeKind,
  type EndpointDirectory,
} from "./state/endpoint_directory.ts";
import type { EndpointLimits } from "./state/endpoint_limits.ts";
import type { EndpointRecord } from "./model/endpoint_record.ts";
import type { FleetBounds } from "./forwarding_settings.ts";
import type { HedgingSettings } from "./ingress/hedging/hedging_settings.ts";
import type {
  ForwardedService,
  ForwardingConfiguration,
} from "./model/route.ts";
import { AnswerTimes } from "./scheduling/answer_times.ts";
import type { VersionGate } from "./rollouts/version_gate.ts";
import type { ColdBound } from "./scheduling/cold_start_guard.ts";
import type { EndpointChooser } from "./scheduling/endpoint_chooser.ts";
import type { ProbedService } from "./scheduling/endpoint_prober.ts";
import { CompletionTimes } from "./scheduling/completion_times.ts";
import {
  DEFAULT_ENGINE_CHOOSER_SETTINGS,
  KEPT_PLACES_ENGINE_CHOOSER_SETTINGS,
} from "./scheduling/engine_chooser_settings.ts";
import { EngineChooser } from "./scheduling/engine_chooser.ts";
import type { KeptPlaces } from "./scheduling/kept_places.ts";
import { LongPromptDemand } from "./scheduling/long_prompt_demand.ts";
import { PlainChooser } from "./scheduling/plain_chooser.ts";
import { PrefillModel } from "./scheduling/prefill_model.ts";
import { RetryAllowance } from "./scheduling/retry_allowance.ts";
import { ServiceScheduler } from "./scheduling/service_scheduler.ts";
import type { ShareMeter } from "./scheduling/share_meter.ts";
import { ZoneCost, type ZoneCostSettings } from "./scheduling/zone_cost.ts";

/** Assumed prefill time of a prompt token until it has been measured. */
const INITIAL_MILLISECONDS_PER_TOKEN = 0.01;
const CLOCK_MARGIN_MILLISECONDS = 10_000;

/** A service with its scheduler, retry budget and prefill model. */
export interface ServiceRuntime {
  service: ForwardedService;
  scheduler: ServiceScheduler;
  retries: RetryAllowance;
  model: PrefillModel;
  /** Undefined if slow attempts are not hedged. */
  answerTimes: AnswerTimes | undefined;
  /** Used where endpoints without model engines report their speed. */
  completions: CompletionTimes;
  /** Undefined where roll-outs are not configured. */
  versions?: VersionGate | undefined;
}

/** Dependencies and settings of a {@link ServiceRegistry}. */
export interface ServiceRegistryOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Called when an endpoint gets work that peers should know of at once. */
  notifyPeers: () => void;
  bounds: FleetBounds;
  hedging?: HedgingSettings | undefined;
  directory: EndpointDirectory;
  limits: EndpointLimits;
  shares: ShareMeter;
  crashes: CrashTracker;
  /** Undefined if refused callers have no places. */
  places?: KeptPlaces | undefined;
  /** Number of VMs that share the fleet's bounds. */
  countVms: () => number;
  /** The cost of traffic between zones; undefined to treat all zones alike. */
  zoneCost?: ZoneCostSettings | undefined;
  /** Returns what tells the versions of a service apart, if anything does. */
  findVersions?: (service: ServiceId) => VersionGate | undefined;
  /** Called with the address of each removed endpoint. */
  closeConnections: (address: string) => void;
}

/** Creates a scheduler for each service and keeps its endpoints up to date. */
export class ServiceRegistry {
  readonly #options: ServiceRegistryOptions;
  readonly #signal: AbortSignal;
  readonly #runtimes = new Map<ServiceId, ServiceRuntime>();

  constructor(options: ServiceRegistryOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    options.directory.changes.listen(
      (change) => this.#applyChange(change),
      signal,
    );
    options.limits.changes.listen(
      ({ endpoint }) => this.#applyLimit(endpoint),
      signal,
    );
  }

  find(service: ServiceId): ServiceRuntime | undefined {
    return this.#runtimes.get(service);
  }

  /** Lists the services with what the endpoint prober needs. */
  *listProbeTargets(): Iterable<ProbedService> {
    for (const { scheduler, service } of this.#runtimes.values()) {
      yield { scheduler, healthPath: service.healthPath };
    }
  }

  *listSchedulers(): Iterable<ServiceScheduler> {
    for (const { scheduler } of this.#runtimes.values()) {
      yield scheduler;
    }
  }

  /**
   * Counts an attempt that another scheduler granted at an endpoint; undefined
   * if the endpoint is not known.
   */
  adoptAttempt(id: EndpointId): { end: () => void } | undefined {
    for (const { scheduler } of this.#runtimes.values()) {
      const endpoint = scheduler.findEndpoint(id);
      if (endpoint !== undefined) {
        const attempt = endpoint.adoptAttempt();
        return { end: () => endpoint.removeAttempt(attempt) };
      }
    }
    return undefined;
  }

  /**
   * Adds the services of a configuration. Services that it no longer contains
   * are kept, so that their requests can finish.
   */
  applyConfiguration(configuration: ForwardingConfiguration): void {
    for (const service of configuration.services) {
      if (!this.#runtimes.has(service.name)) {
        this.#createRuntime(service);
      }
    }
  }

  /**
   * Applies the start or end of a zone's drain. Endpoints that received no
   * requests for a while may have become cold, so they are marked as cold.
   */
  applyZoneDrain(zone: ZoneId): void {
    const { directory } = this.#options;
    for (const { scheduler, service } of this.#runtimes.values()) {
      for (const record of directory.listService(service.name)) {
        if (record.zone === zone) {
          const endpoint = scheduler.updateEndpoint(record, false);
          endpoint.coldStart.markCold(service.coldMilliseconds);
          scheduler.updateEndpoint(record, directory.isAvailable(record.id));
        }
      }
    }
  }

  #applyLimit(endpoint: EndpointId): void {
    const requestsPerSecond = this.#options.limits.find(endpoint);
    for (const { scheduler } of this.#runtimes.values()) {
      if (scheduler.findEndpoint(endpoint) !== undefined) {
        scheduler.updateRateLimit(endpoint, requestsPerSecond);
      }
    }
  }

  #createRuntime(service: ForwardedService): void {
    const { clock, bounds, directory, limits } = this.#options;
    const model = new PrefillModel(INITIAL_MILLISECONDS_PER_TOKEN);
    const versions = this.#options.findVersions?.(service.name);
    const scheduler = new ServiceScheduler({
      ...this.#options,
      service,
      chooser: this.#createChooser(service, model),
      coldBound: computeColdBound(service, bounds),
      versions,
      signal: this.#signal,
    });
    const retries = new RetryAllowance(clock, bounds.retries);
    const { hedging } = this.#options;
    const answerTimes = hedging && new AnswerTimes(hedging.quantile);
    const completions = new CompletionTimes();
    this.#runtimes.set(service.name, {
      service,
      scheduler,
      retries,
      model,
      answerTimes,
      completions,
      versions,
    });
    for (const record of directory.listService(service.name)) {
      const endpoint = scheduler.updateEndpoint(record, false);
      if (this.#hasStartedRecently(record, service)) {
        endpoint.coldStart.recordStart(service.coldMilliseconds);
      }
      if (record.coldMilliseconds > 0) {
        endpoint.coldStart.markCold(record.coldMilliseconds);
      }
      scheduler.updateRateLimit(record.id, limits.find(record.id));
      scheduler.updateEndpoint(record, directory.isAvailable(record.id));
    }
  }

  #createChooser(
    service: ForwardedService,
    model: PrefillModel,
  ): EndpointChooser {
    const { clock, random, places } = this.#options;
    const zoneCost = this.#options.zoneCost &&
      new ZoneCost(this.#options.zoneCost);
    if (service.engine === undefined) {
      return new PlainChooser(random, zoneCost);
    }
    const settings = places === undefined
      ? DEFAULT_ENGINE_CHOOSER_SETTINGS
      : KEPT_PLACES_ENGINE_CHOOSER_SETTINGS;
    return new EngineChooser(service.engine, model, {
      settings,
      demand: new LongPromptDemand(clock, settings.otherEnginesFactor),
      zoneCost,
      random,
    });
  }

  /**
   * Whether an endpoint may have started so recently that it is cold. The
   * margin covers differences between the VMs' clocks.
   */
  #hasStartedRecently(
    { startedAtUnixMilliseconds }: EndpointRecord,
    { coldMilliseconds }: ForwardedService,
  ): boolean {
    const age = this.#options.clock.wallTime() - startedAtUnixMilliseconds;
    return startedAtUnixMilliseconds === 0 ||
      age < coldMilliseconds + CLOCK_MARGIN_MILLISECONDS;
  }

  #applyChange({ kind, entry }: DirectoryChange): void {
    const { directory, limits, crashes, closeConnections } = this.#options;
    const { record } = entry;
    const runtime = this.#runtimes.get(record.service);
    if (kind === DirectoryChangeKind.Removed) {
      runtime?.scheduler.removeEndpoint(record.id);
      closeConnections(`${record.host}:${record.port}`);
      return;
    }
    if (runtime === undefined) {
      return;
    }
    // The endpoint stays unavailable until its cold state is known, so that no
    // request is granted before its rate is limited.
    const endpoint = runtime.scheduler.updateEndpoint(record, false);
    const isNewProcess = kind === DirectoryChangeKind.Started ||
      kind === DirectoryChangeKind.Discovered &&
        this.#hasStartedRecently(record, runtime.service);
    if (isNewProcess) {
      endpoint.restart();
      endpoint.coldStart.recordStart(runtime.service.coldMilliseconds);
      crashes.recordStart(record);
    }
    if (record.coldMilliseconds > 0) {
      endpoint.coldStart.markCold(record.coldMilliseconds);
    }
    runtime.scheduler.updateRateLimit(record.id, limits.find(record.id));
    runtime.scheduler.updateEndpoint(record, directory.isAvailable(record.id));
  }
}

function computeColdBound(
  service: ForwardedService,
  bounds: FleetBounds,
): ColdBound {
  const { coldMilliseconds, coldRequestsPerSecond } = service;
  const arrivalsPerSecond = coldRequestsPerSecond === 0
    ? Infinity
    : coldRequestsPerSecond * bounds.coldRateFactor +
      bounds.coldExtraRequestsPerSecond;
  return { coldMilliseconds, arrivalsPerSecond };
}
