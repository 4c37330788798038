/** The forwarding router of one VM. */

import { randomInt } from "node:crypto";
import {
  BufferCollector,
  type Clock,
  createLifetime,
  describeError,
  type Logger,
  RandomSource,
} from "@rattanvane/base";
import {
  CallerMemory,
  DEFAULT_SUSPECT_SETTINGS,
  SuspectRegistry,
} from "@rattanvane/limits";
import type { TableFeed } from "@rattanvane/platform";
import type { VmContact } from "@rattanvane/protocol";
import { LocalAdmission } from "./admission/local_admission.ts";
import { CrashTracker } from "./state/crash_tracker.ts";
import { EndpointLimits } from "./state/endpoint_limits.ts";
import { FleetState } from "./state/fleet_state.ts";
import type { RowDecoder } from "./state/row_decoder.ts";
import type { ForwardingSettings } from "./forwarding_settings.ts";
import { computeMemoryBudget } from "./ingress/memory_budget.ts";
import { AnswerMemory } from "./ingress/answer_memory.ts";
import { CallReader, RejectionKind } from "./ingress/call_reader.ts";
import type { CallerAnswer } from "./ingress/caller_answer.ts";
import { EndpointTransport } from "./ingress/endpoint_transport.ts";
import { ForwardRun } from "./ingress/forward_run.ts";
import { HedgePolicy } from "./ingress/hedging/hedge_policy.ts";
import { readHealth } from "./ingress/health_check.ts";
import { IngressServer } from "./ingress/ingress_server.ts";
import { RunDurations } from "./ingress/run_durations.ts";
import { ReadinessServer } from "./ingress/readiness_server.ts";
import { ForwardingMetrics } from "./metrics/forwarding_metrics.ts";
import type { ForwardedCall } from "./model/call.ts";
import type { Dialect } from "./model/dialect.ts";
import type { RouteTable } from "./model/route_table.ts";
import { FleetControl } from "./fleet/fleet_control.ts";
import { RolloutCoordinator } from "./rollouts/rollout_coordinator.ts";
import { EndpointPauses } from "./scheduling/endpoint_pauses.ts";
import { EndpointProber } from "./scheduling/endpoint_prober.ts";
import { KeptPlaces } from "./scheduling/kept_places.ts";
import { ShareMeter } from "./scheduling/share_meter.ts";
import { ShareReporter } from "./scheduling/share_reporter.ts";
import { ServiceRegistry } from "./service_registry.ts";

const MAX_RANDOM_SEED = 0x7fffffff;
const CRASHES_UNTIL_QUARANTINE = 3;
const QUARANTINE_MILLISECONDS = 120_000;
/**
 * The load balancer checks readiness once a second and takes a VM out of
 * rotation after two failed checks.
 */
const BALANCER_REACTION_MILLISECONDS = 2_600;
/** Remaining grace period at which requests that still run are aborted. */
const FORCED_CLOSE_MARGIN_MILLISECONDS = 600;
const DRAIN_POLL_INTERVAL_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
/** Margin between the maximum age of key data and the revocation bound. */
const REVOCATION_MARGIN_MILLISECONDS = 400;

/** Settings and external dependencies of a {@link ForwardingRouter}. */
export interface ForwardingRouterOptions {
  settings: ForwardingSettings;
  dialect: Dialect;
  decoder: RowDecoder;
  createFeed: (random: RandomSource, signal: AbortSignal) => TableFeed;
  clock: Clock;
  logger: Logger;
}

enum RouterPhase {
  Starting = "starting",
  Serving = "serving",
  ShuttingDown = "leaving",
}

/** Creates, connects and runs the components of one VM's router. */
export class ForwardingRouter {
  readonly #options: ForwardingRouterOptions;
  readonly #lifetime = createLifetime();
  readonly #random = new RandomSource(randomInt(MAX_RANDOM_SEED));
  readonly #metrics = new ForwardingMetrics();
  readonly #suspects: SuspectRegistry;
  readonly #state: FleetState;
  readonly #shares: ShareMeter;
  readonly #services: ServiceRegistry;
  readonly #crashes: CrashTracker;
  readonly #fleet: FleetControl;
  readonly #transport: EndpointTransport;
  readonly #answerMemory: AnswerMemory;
  readonly #callerMemory: CallerMemory;
  readonly #buffers = new BufferCollector({
    readHeldBytes: () => this.#callerMemory.bytes + this.#answerMemory.bytes,
  });
  readonly #limits: EndpointLimits;
  readonly #pauses: EndpointPauses;
  readonly #rollouts: RolloutCoordinator;
  readonly #prober: EndpointProber;
  readonly #ingress: IngressServer;
  readonly #readiness: ReadinessServer;
  readonly #durations = new RunDurations();
  /** Undefined if slow requests get no second attempt. */
  readonly #hedging: HedgePolicy | undefined;
  #phase = RouterPhase.Starting;
  /** When running requests are aborted. */
  #endsAt = Infinity;

  constructor(options: ForwardingRouterOptions) {
    this.#options = options;
    const { settings, clock, logger, dialect } = options;
    const { signal } = this.#lifetime;
    const { bounds } = settings;
    const feed = options.createFeed(this.#random, signal);
    this.#suspects = new SuspectRegistry(clock, {
      ...DEFAULT_SUSPECT_SETTINGS,
      crashesUntilQuarantine: CRASHES_UNTIL_QUARANTINE,
      quarantineMilliseconds: QUARANTINE_MILLISECONDS,
    });
    this.#crashes = new CrashTracker({
      clock,
      logger: logger.forPart("limits"),
      suspects: this.#suspects,
      vm: settings.self.vm,
    });
    this.#shares = new ShareMeter({
      clock,
      periodMilliseconds: bounds.sharePeriodMilliseconds,
    });
    this.#state = new FleetState({
      feed,
      decoder: options.decoder,
      clock,
      random: this.#random,
      logger: logger.forPart("beliefs"),
      maxKeyAgeMilliseconds: bounds.revocationMilliseconds -
        REVOCATION_MARGIN_MILLISECONDS,
      isPolling: () => this.#fleet.isFollower,
    });
    this.#transport = new EndpointTransport(settings.callers.host, signal, {
      countReceived: (bytes) => this.#buffers.record(bytes),
    });
    this.#limits = new EndpointLimits({
      clock,
      logger: logger.forPart("beliefs"),
      directory: this.#state.directory,
    }, signal);
    this.#pauses = new EndpointPauses({
      clock,
      logger: logger.forPart("scheduler"),
      directory: this.#state.directory,
    }, signal);
    const places = settings.keepsPlaces === true
      ? new KeptPlaces({
        clock,
        recordEvent: (event) => this.#metrics.recordPlace(event),
      })
      : undefined;
    this.#rollouts = new RolloutCoordinator({
      settings: settings.rollouts,
      vm: settings.self.vm,
      feed,
      decoder: options.decoder,
      clock,
      random: this.#random,
      logger: logger.forPart("scheduler"),
      directory: this.#state.directory,
      orders: this.#state.rolloutOrders,
      storeRestored: this.#state.storeRestored,
      isScheduler: () => this.#fleet.isScheduler,
      countLiveSchedulers: () => this.#fleet.countLiveSchedulers(),
      findScheduler: (service) => this.#services.find(service)?.scheduler,
    }, signal);
    this.#services = new ServiceRegistry({
      clock,
      random: this.#random,
      logger: logger.forPart("scheduler"),
      notifyPeers: () => this.#fleet.sendSoon(),
      bounds,
      hedging: settings.hedging,
      zoneCost: settings.zoneCost,
      directory: this.#state.directory,
      limits: this.#limits,
      shares: this.#shares,
      crashes: this.#crashes,
      places,
      countVms: () => this.#fleet.countLimitSharers(),
      findVersions: (service) => this.#rollouts.findGate(service),
      closeConnections: (address) => this.#transport.closeConnections(address),
    }, signal);
    this.#prober = new EndpointProber({
      clock,
      logger: logger.forPart("scheduler"),
      isScheduler: () => this.#fleet.isScheduler,
      listServices: () => this.#services.listProbeTargets(),
      checkHealth: (endpoint, path, limit) =>
        readHealth(
          endpoint,
          { path, transport: this.#transport, dialect, clock },
          limit,
        ),
    });
    this.#fleet = new FleetControl({
      settings,
      feed,
      clock,
      random: this.#random,
      logger,
      suspects: this.#suspects,
      crashes: this.#crashes,
      shares: this.#shares,
      state: this.#state,
      limits: this.#limits,
      places,
      rollouts: this.#rollouts,
      localAdmission: new LocalAdmission({
        clock,
        shares: this.#shares,
        crashes: this.#crashes,
        findRuntime: (service) => this.#services.find(service),
      }),
      isPaused: (endpoint) =>
        this.#pauses.endpoints.has(endpoint) ||
        this.#isOfExcludedVersion(endpoint),
      listSchedulers: () => this.#services.listSchedulers(),
      adoptAttempt: (endpoint) => this.#services.adoptAttempt(endpoint),
    }, signal);
    const budget = computeMemoryBudget(settings.machine ?? {});
    this.#answerMemory = new AnswerMemory(budget.answerBytes);
    this.#callerMemory = new CallerMemory({
      maxBytes: budget.callerBytes,
      clock,
      logger: logger.forPart("ingress"),
      countRelease: (kind) => this.#metrics.recordReleasedCaller(kind),
    });
    this.#ingress = this.#createIngress();
    this.#hedging = settings.hedging === undefined
      ? undefined
      : new HedgePolicy({
        clock,
        settings: settings.hedging,
        isBusy: (call) => this.#ingress.isSaturated || !this.#mayFinish(call),
      });
    this.#readiness = new ReadinessServer({
      listen: settings.readiness,
      readinessPath: settings.readinessPath,
      describeNotReady: () => this.#describeNotReady(),
      registry: this.#metrics.registry,
    });
    this.#registerGauges();
  }

  /**
   * Serves until the signal aborts, then shuts down gracefully. Running
   * requests are only aborted when the grace period ends first.
   */
  async run(signal: AbortSignal): Promise<void> {
    try {
      await this.#start();
      await waitForAbort(signal);
      await this.#shutDown();
    } finally {
      this.#lifetime.abort();
    }
    this.#options.logger.info("stopped");
  }

  /** Adds seed VMs to connect to. */
  updateSeeds(seeds: readonly VmContact[]): void {
    this.#fleet.updateSeeds(seeds);
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { signal } = this.#lifetime;
    this.#subscribeToState();
    await this.#fleet.start(signal);
    this.#runTask("beliefs", this.#state.run(signal));
    this.#runTask("endpoint prober", this.#prober.run(signal));
    this.#runTask("roll-outs", this.#rollouts.run(signal));
    this.#runTask("fleet control", this.#fleet.run(signal));
    this.#runTask("share reporter", this.#createShareReporter().run(signal));
    await this.#readiness.start(signal);
    await this.#ingress.start(signal);
    this.#runTask("ingress", this.#ingress.run(signal));
    logger.info("listening", {
      vm: settings.self.vm,
      zone: settings.zone,
      callers: settings.callers.port,
      control: settings.control.port,
    });
  }

  #subscribeToState(): void {
    const { signal } = this.#lifetime;
    this.#state.routesChanged.listen(
      (routes) => this.#applyRoutes(routes),
      signal,
    );
    this.#state.drainsChanged.listen(
      (zone) => this.#services.applyZoneDrain(zone),
      signal,
    );
  }

  #applyRoutes(routes: RouteTable): void {
    const { configuration } = routes;
    this.#shares.updateCapacity(configuration.costPerSecond);
    this.#ingress.updateLimits(configuration.limits);
    this.#services.applyConfiguration(configuration);
    this.#metrics.retainRoutes(
      new Set(configuration.routes.map(({ name }) => name)),
    );
    if (this.#phase === RouterPhase.Starting) {
      this.#phase = RouterPhase.Serving;
      this.#options.logger.info("ready to serve requests", {
        version: configuration.version,
      });
    }
  }

  /**
   * Accepts requests until the load balancer has taken this VM out of rotation,
   * then waits for the running ones to finish.
   */
  async #shutDown(): Promise<void> {
    const { clock, settings, logger } = this.#options;
    const startedAt = clock.now();
    const endsAt = startedAt + settings.bounds.graceMilliseconds -
      FORCED_CLOSE_MARGIN_MILLISECONDS;
    this.#phase = RouterPhase.ShuttingDown;
    this.#endsAt = endsAt;
    logger.info("shutting down", { active: this.#ingress.active });
    void this.#fleet.leave(this.#lifetime.signal);
    await this.#waitUntil(
      () => false,
      Math.min(startedAt + BALANCER_REACTION_MILLISECONDS, endsAt),
    );
    this.#ingress.stopAccepting();
    await this.#waitUntil(() => this.#ingress.active === 0, endsAt);
    if (this.#ingress.active > 0) {
      logger.warn("grace period is ending; aborting running requests", {
        cut: this.#ingress.active,
      });
    }
  }

  async #waitUntil(condition: () => boolean, endsAt: number): Promise<void> {
    const { clock } = this.#options;
    while (!condition() && clock.now() < endsAt) {
      await clock.sleep(
        DRAIN_POLL_INTERVAL_MILLISECONDS,
        this.#lifetime.signal,
      );
    }
  }

  #createShareReporter(): ShareReporter {
    const { clock, logger } = this.#options;
    return new ShareReporter({
      shares: this.#shares,
      clock,
      logger: logger.forPart("scheduler"),
    });
  }

  #createIngress(): IngressServer {
    const { settings, clock, logger, dialect } = this.#options;
    const reader = new CallReader({
      dialect,
      clock,
      random: this.#random,
      originZone: settings.zoneCost === undefined ? undefined : settings.zone,
      findRoutes: () => this.#state.routes,
      areKeysFresh: () => this.#state.areKeysFresh(),
      waitForKeys: () => this.#state.waitForKeys(this.#lifetime.signal),
    });
    return new IngressServer({
      ...settings.callers,
      clock,
      logger: logger.forPart("ingress"),
      random: this.#random,
      settings: settings.ingress,
      reader,
      memory: this.#callerMemory,
      maxConnections: settings.machine?.connections,
      listPeers: () => this.#fleet.listZonePeers(),
      listOtherZones: settings.ingress === undefined
        ? undefined
        : () => this.#listOtherZones(),
      findLimits: () => this.#state.routes?.configuration.limits,
      isLeaving: () => this.#phase === RouterPhase.ShuttingDown,
      findRejection: (call) => this.#findRejection(call),
      serve: (call, answer, lifetime) => this.#serve(call, answer, lifetime),
      countRejection: (kind) => this.#metrics.recordRejection(kind),
      countReceived: (bytes) => this.#buffers.record(bytes),
      countConnection: (event) => this.#metrics.recordConnection(event),
      recordTurn: (milliseconds) => this.#metrics.recordTurn(milliseconds),
    });
  }

  /**
   * Only where leaving the zone has a stated cost: what this zone cannot serve
   * is worth it then.
   */
  #listOtherZones(): readonly VmContact[] {
    return this.#options.settings.zoneCost === undefined
      ? []
      : this.#fleet.listOtherZoneVms();
  }

  #findRejection(call: ForwardedCall): RejectionKind | undefined {
    if (this.#crashes.isQuarantined(call)) {
      return RejectionKind.Quarantined;
    }
    return this.#mayFinish(call) ? undefined : RejectionKind.ShuttingDown;
  }

  #mayFinish({ route, deadlineAt }: ForwardedCall): boolean {
    const expectedAt = this.#options.clock.now() +
      this.#durations.predict(route.name);
    return Math.min(expectedAt, deadlineAt) <= this.#endsAt;
  }

  async #serve(
    call: ForwardedCall,
    answer: CallerAnswer,
    lifetime: AbortController,
  ): Promise<void> {
    const runtime = this.#services.find(call.service);
    if (runtime === undefined) {
      throw new Error(
        `Service "${call.service}" has no scheduler; configure the service`,
      );
    }
    const run = new ForwardRun({
      clock: this.#options.clock,
      logger: this.#options.logger.forPart("ingress"),
      dialect: this.#options.dialect,
      transport: this.#transport,
      memory: this.#answerMemory,
      metrics: this.#metrics,
      hasVersions: (service) =>
        this.#rollouts.findGate(service)?.isActive === true,
      admission: this.#fleet.admission,
      directory: this.#state.directory,
      limits: this.#limits,
      pauses: this.#pauses,
      durations: this.#durations,
      hedging: this.#hedging,
      mayFinish: (call) => this.#mayFinish(call),
      countVms: () => this.#fleet.countVms(),
    }, {
      call,
      answer,
      retries: runtime.retries,
      configurationVersion: this.#state.routes?.configuration.version ?? 0,
    });
    await run.run(lifetime);
  }

  /** Whether a scheduler has not heard yet of what this VM knows. */
  #isOfExcludedVersion(endpoint: string): boolean {
    const record = this.#state.directory.find(endpoint);
    return record !== undefined &&
      this.#rollouts.findGate(record.service)?.isExcluded(
          record.version ?? "",
        ) === true;
  }

  #describeNotReady(): string | undefined {
    switch (this.#phase) {
      case RouterPhase.Starting:
        return "This VM has no configuration yet";
      case RouterPhase.ShuttingDown:
        return "This VM is shutting down";
      case RouterPhase.Serving:
        return undefined;
    }
  }

  #registerGauges(): void {
    this.#metrics.registerGauges({
      countWaiting: () => this.#sumSchedulers((scheduler) => scheduler.waiting),
      countRunning: () => this.#ingress.active,
      readConfigurationVersion: () =>
        this.#state.routes?.configuration.version ?? 0,
      computeConfigurationAgeSeconds: () =>
        this.#state.configuration.freshness.computeAge() /
        MILLISECONDS_PER_SECOND,
      countQuarantinedParts: () => this.#crashes.quarantinedParts,
      countPeers: () => this.#fleet.countLiveSchedulers(),
      countMembers: () => this.#fleet.countMembers(),
      countSchedulerRoles: () => this.#fleet.isScheduler ? 1 : 0,
      countHeldRemovals: () => this.#state.directory.heldRemovals,
      countCallerBytes: () => this.#callerMemory.bytes,
      countSlowEndpoints: () =>
        this.#sumSchedulers((scheduler) => scheduler.slowEndpoints),
      countRollouts: () => this.#rollouts.countInProgress(),
      countOwnedRollouts: () => this.#rollouts.countOwned(),
    });
  }

  #sumSchedulers(
    read: (scheduler: { waiting: number; slowEndpoints: number }) => number,
  ): number {
    let sum = 0;
    for (const scheduler of this.#services.listSchedulers()) {
      sum += read(scheduler);
    }
    return sum;
  }

  #runTask(name: string, task: Promise<void>): void {
    task.catch((thrown) => {
      this.#options.logger.error("background task failed", {
        task: name,
        reason: describeError(thrown),
      });
    });
  }
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) {
    return;
  }
  await new Promise<void>((resolve) => {
    signal.addEventListener("abort", () => resolve(), { once: true });
  });
}
