/** The router of forwarding routes on one VM. */

import { randomInt } from "node:crypto";
import {
  type Clock,
  createLifetime,
  describeError,
  type Logger,
  RandomSource,
} from "@rattanvane/base";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import type { TableFeed } from "@rattanvane/platform";
import type { VmContact } from "@rattanvane/protocol";
import { CrashWatch } from "./beliefs/crash_watch.ts";
import { FleetState } from "./beliefs/fleet_state.ts";
import type { RowDecoder } from "./beliefs/row_decoder.ts";
import type { ForwardingSettings } from "./forwarding_settings.ts";
import { CallReader, RejectionKind } from "./ingress/call_reader.ts";
import type { CallerAnswer } from "./ingress/caller_answer.ts";
import { EndpointTransport } from "./ingress/endpoint_transport.ts";
import { ForwardRun } from "./ingress/forward_run.ts";
import { readHealth } from "./ingress/health_question.ts";
import { IngressServer } from "./ingress/ingress_server.ts";
import { ReadinessServer } from "./ingress/readiness_server.ts";
import { ForwardingMetrics } from "./metrics/forwarding_metrics.ts";
import { computeCost, type ForwardedCall } from "./model/call.ts";
import type { Dialect } from "./model/dialect.ts";
import type { RouteTable } from "./model/route_table.ts";
import { FleetPeers } from "./peers/fleet_peers.ts";
import { EndpointProber } from "./scheduling/endpoint_prober.ts";
import { ShareMeter } from "./scheduling/share_meter.ts";
import { ServiceHosts } from "./service_hosts.ts";

const HIGHEST_SEED = 0x7fffffff;
const CRASHES_UNTIL_QUARANTINE = 3;
const QUARANTINE_MILLISECONDS = 120_000;
/** The balancer asks once a second and needs two misses. */
const NOTICE_MILLISECONDS = 2_600;
/** Left of the grace period when what still runs is given up. */
const LAST_MILLISECONDS = 600;
const DRAIN_STEP_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
/** Between the proof behind a key and the bound of its revocation. */
const REVOCATION_MARGIN_MILLISECONDS = 400;

/** What the router meets the outside with. */
export interface ForwardingRouterOptions {
  settings: ForwardingSettings;
  dialect: Dialect;
  decoder: RowDecoder;
  createFeed: (random: RandomSource, signal: AbortSignal) => TableFeed;
  clock: Clock;
  logger: Logger;
}

enum Phase {
  Starting = "starting",
  Serving = "serving",
  Leaving = "leaving",
}

/** Creates all parts of one VM and connects them. */
export class ForwardingRouter {
  readonly #options: ForwardingRouterOptions;
  readonly #lifetime = createLifetime();
  readonly #random = new RandomSource(randomInt(HIGHEST_SEED));
  readonly #metrics = new ForwardingMetrics();
  readonly #suspects: SuspectRegistry;
  readonly #beliefs: FleetState;
  readonly #shares: ShareMeter;
  readonly #hosts: ServiceHosts;
  readonly #crashes: CrashWatch;
  readonly #peers: FleetPeers;
  readonly #transport: EndpointTransport;
  readonly #prober: EndpointProber;
  readonly #ingress: IngressServer;
  readonly #readiness: ReadinessServer;
  #phase = Phase.Starting;

  constructor(options: ForwardingRouterOptions) {
    this.#options = options;
    const { settings, clock, logger } = options;
    const { signal } = this.#lifetime;
    const { bounds } = settings;
    const feed = options.createFeed(this.#random, signal);
    this.#suspects = new SuspectRegistry(clock, {
      ...DEFAULT_SUSPECT_SETTINGS,
      crashesUntilQuarantine: CRASHES_UNTIL_QUARANTINE,
      quarantineMilliseconds: QUARANTINE_MILLISECONDS,
    });
    this.#crashes = new CrashWatch({
      clock,
      logger: logger.forPart("limits"),
      suspects: this.#suspects,
      vm: settings.self.vm,
    });
    this.#shares = new ShareMeter({
      clock,
      periodMilliseconds: bounds.sharePeriodMilliseconds,
    });
    this.#beliefs = new FleetState({
      feed,
      decoder: options.decoder,
      clock,
      logger: logger.forPart("beliefs"),
      maxKeyAgeMilliseconds: bounds.revocationMilliseconds -
        REVOCATION_MARGIN_MILLISECONDS,
    });
    this.#transport = new EndpointTransport(settings.callers.host, signal);
    this.#hosts = new ServiceHosts({
      clock,
      random: this.#random,
      logger: logger.forPart("scheduler"),
      tellPeers: () => this.#peers.sendSoon(),
      bounds,
      directory: this.#beliefs.directory,
      shares: this.#shares,
      crashes: this.#crashes,
      countVms: () => this.#peers.countVms(),
      forgetAddress: (address) => this.#transport.forget(address),
    }, signal);
    this.#prober = new EndpointProber({
      clock,
      logger: logger.forPart("scheduler"),
      listServices: () => this.#hosts.listProbed(),
      askHealth: (endpoint, path, limit) =>
        readHealth(endpoint, { path, transport: this.#transport }, limit),
    });
    this.#peers = new FleetPeers({
      settings,
      feed,
      clock,
      random: this.#random,
      logger,
      suspects: this.#suspects,
      shares: this.#shares,
      configuration: this.#beliefs.configuration,
      endpoints: this.#beliefs.endpoints,
      listSchedulers: () => this.#hosts.listSchedulers(),
    });
    this.#ingress = this.#createIngress();
    this.#readiness = new ReadinessServer({
      listen: settings.readiness,
      readinessPath: settings.readinessPath,
      findObstacle: () => this.#findObstacle(),
      registry: this.#metrics.registry,
    });
    this.#registerGauges();
  }

  /** Serves until the signal aborts, then leaves without cutting a request. */
  async run(signal: AbortSignal): Promise<void> {
    try {
      await this.#start();
      await waitForAbort(signal);
      await this.#leave();
    } finally {
      this.#lifetime.abort();
    }
    this.#options.logger.info("stopped");
  }

  /** Looks for more VMs to speak to. */
  updateSeeds(seeds: readonly VmContact[]): void {
    this.#peers.updateSeeds(seeds);
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { signal } = this.#lifetime;
    this.#connectBeliefs();
    await this.#peers.start(signal);
    this.#runTask("beliefs", this.#beliefs.run(signal));
    this.#runTask("endpoint prober", this.#prober.run(signal));
    this.#runTask("peers", this.#peers.run(signal));
    await this.#readiness.start(signal);
    await this.#ingress.start(signal);
    logger.info("listens", {
      vm: settings.self.vm,
      zone: settings.zone,
      callers: settings.callers.port,
      control: settings.control.port,
    });
  }

  #connectBeliefs(): void {
    const { signal } = this.#lifetime;
    this.#beliefs.routesChanged.listen(
      (routes) => this.#applyRoutes(routes),
      signal,
    );
    this.#beliefs.drainsChanged.listen(
      (zone) => this.#hosts.updateDrain(zone),
      signal,
    );
  }

  #applyRoutes(routes: RouteTable): void {
    const { configuration } = routes;
    this.#shares.updateCapacity(configuration.costPerSecond);
    this.#ingress.updateLimits(configuration.limits);
    this.#hosts.updateConfiguration(configuration);
    if (this.#phase === Phase.Starting) {
      this.#phase = Phase.Serving;
      this.#options.logger.info("serves callers", {
        version: configuration.version,
      });
    }
  }

  /** Takes requests on until the balancer has noticed, then finishes them. */
  async #leave(): Promise<void> {
    const { clock, settings, logger } = this.#options;
    const startedAt = clock.now();
    const endsAt = startedAt + settings.bounds.graceMilliseconds -
      LAST_MILLISECONDS;
    this.#phase = Phase.Leaving;
    logger.info("leaves the fleet", { active: this.#ingress.active });
    void this.#peers.leave(this.#lifetime.signal);
    await this.#waitUntil(
      () => false,
      Math.min(startedAt + NOTICE_MILLISECONDS, endsAt),
    );
    this.#ingress.stopAccepting();
    await this.#waitUntil(() => this.#ingress.active === 0, endsAt);
    if (this.#ingress.active > 0) {
      logger.warn("the grace period is over", { cut: this.#ingress.active });
    }
  }

  async #waitUntil(condition: () => boolean, endsAt: number): Promise<void> {
    const { clock } = this.#options;
    while (!condition() && clock.now() < endsAt) {
      await clock.sleep(DRAIN_STEP_MILLISECONDS, this.#lifetime.signal);
    }
  }

  #createIngress(): IngressServer {
    const { settings, clock, logger, dialect } = this.#options;
    const reader = new CallReader({
      dialect,
      clock,
      random: this.#random,
      findRoutes: () => this.#beliefs.routes,
      areKeysFresh: () => this.#beliefs.areKeysFresh(),
      waitForKeys: () => this.#beliefs.waitForKeys(this.#lifetime.signal),
    });
    return new IngressServer({
      ...settings.callers,
      clock,
      logger: logger.forPart("ingress"),
      reader,
      findLimits: () => this.#beliefs.routes?.configuration.limits,
      isLeaving: () => this.#phase === Phase.Leaving,
      findObstacle: (call) =>
        this.#suspects.isQuarantined(call.fingerprint)
          ? RejectionKind.Quarantined
          : undefined,
      serve: (call, answer, signal) => this.#serve(call, answer, signal),
      countRejection: (kind) => this.#metrics.recordRejection(kind),
    });
  }

  async #serve(
    call: ForwardedCall,
    answer: CallerAnswer,
    signal: AbortSignal,
  ): Promise<void> {
    const host = this.#hosts.find(call.service);
    if (host === undefined) {
      throw new Error(`Service "${call.service}" has no scheduler`);
    }
    if (call.organisation !== undefined) {
      this.#shares.recordAsked(call.organisation, computeCost(call));
    }
    const run = new ForwardRun({
      clock: this.#options.clock,
      logger: this.#options.logger.forPart("ingress"),
      dialect: this.#options.dialect,
      transport: this.#transport,
      metrics: this.#metrics,
      suspects: this.#suspects,
      crashes: this.#crashes,
      countVms: () => this.#peers.countVms(),
    }, {
      call,
      answer,
      scheduler: host.scheduler,
      retries: host.retries,
      model: host.model,
      configurationVersion: this.#beliefs.routes?.configuration.version ?? 0,
    });
    await run.run(signal);
  }

  #findObstacle(): string | undefined {
    switch (this.#phase) {
      case Phase.Starting:
        return "This VM has no configuration yet";
      case Phase.Leaving:
        return "This VM is shutting down";
      case Phase.Serving:
        return undefined;
    }
  }

  #registerGauges(): void {
    this.#metrics.registerGauges({
      countWaiting: () => this.#sumSchedulers((one) => one.waiting),
      countRunning: () => this.#ingress.active,
      readConfigurationVersion: () =>
        this.#beliefs.routes?.configuration.version ?? 0,
      computeConfigurationAgeSeconds: () =>
        this.#beliefs.configuration.freshness.computeAge() /
        MILLISECONDS_PER_SECOND,
      countPeers: () => this.#peers.countLive(),
    });
  }

  #sumSchedulers(
    read: (scheduler: { waiting: number }) => number,
  ): number {
    let sum = 0;
    for (const scheduler of this.#hosts.listSchedulers()) {
      sum += read(scheduler);
    }
    return sum;
  }

  #runTask(name: string, task: Promise<void>): void {
    task.catch((thrown) => {
      this.#options.logger.error("a task failed", {
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
