/** The schedulers of all services that this VM sends to. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { ServiceId, ZoneId } from "@rattanvane/protocol";
import type { CrashWatch } from "./beliefs/crash_watch.ts";
import {
  type DirectoryChange,
  DirectoryChangeKind,
  type EndpointDirectory,
} from "./beliefs/endpoint_directory.ts";
import type { FleetBounds } from "./forwarding_settings.ts";
import type {
  ForwardedService,
  ForwardingConfiguration,
} from "./model/route.ts";
import type { ColdBound } from "./scheduling/cold_guard.ts";
import type { EndpointChooser } from "./scheduling/endpoint_chooser.ts";
import type { ProbedService } from "./scheduling/endpoint_prober.ts";
import { EngineChooser } from "./scheduling/engine_chooser.ts";
import { PlainChooser } from "./scheduling/plain_chooser.ts";
import { PrefillModel } from "./scheduling/prefill_model.ts";
import { RetryAllowance } from "./scheduling/retry_allowance.ts";
import { ServiceScheduler } from "./scheduling/service_scheduler.ts";
import type { ShareMeter } from "./scheduling/share_meter.ts";

/** Before anything is known, a prompt token takes so long to read. */
const FIRST_MILLISECONDS_PER_TOKEN = 0.01;

/** One service with what is kept for it. */
export interface HostedService {
  service: ForwardedService;
  scheduler: ServiceScheduler;
  retries: RetryAllowance;
  model: PrefillModel;
}

/** What the hosts are created with. */
export interface ServiceHostsOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  tellPeers: () => void;
  bounds: FleetBounds;
  directory: EndpointDirectory;
  shares: ShareMeter;
  crashes: CrashWatch;
  countVms: () => number;
  /** Called for an address that is no longer used. */
  forgetAddress: (address: string) => void;
}

/** Creates a scheduler for each service and keeps its endpoints current. */
export class ServiceHosts {
  readonly #options: ServiceHostsOptions;
  readonly #hosts = new Map<ServiceId, HostedService>();

  constructor(options: ServiceHostsOptions, signal: AbortSignal) {
    this.#options = options;
    options.directory.changes.listen(
      (change) => this.#applyChange(change),
      signal,
    );
  }

  find(service: ServiceId): HostedService | undefined {
    return this.#hosts.get(service);
  }

  /** Services with what a prober needs of them. */
  *listProbed(): Iterable<ProbedService> {
    for (const { scheduler, service } of this.#hosts.values()) {
      yield { scheduler, healthPath: service.healthPath };
    }
  }

  *listSchedulers(): Iterable<ServiceScheduler> {
    for (const { scheduler } of this.#hosts.values()) {
      yield scheduler;
    }
  }

  /** Takes in a configuration; a service that it drops is served to its end. */
  updateConfiguration(configuration: ForwardingConfiguration): void {
    for (const service of configuration.services) {
      if (!this.#hosts.has(service.name)) {
        this.#createHost(service);
      }
    }
  }

  /**
   * Takes in that a zone's drain began or ended. Endpoints that were sent
   * nothing for a while may have become cold.
   */
  updateDrain(zone: ZoneId): void {
    const { directory } = this.#options;
    for (const { scheduler, service } of this.#hosts.values()) {
      for (const record of directory.listService(service.name)) {
        if (record.zone === zone) {
          const endpoint = scheduler.updateEndpoint(record, false);
          endpoint.cold.markCold(service.coldMilliseconds);
          scheduler.updateEndpoint(record, directory.isAvailable(record.id));
        }
      }
    }
  }

  #createHost(service: ForwardedService): void {
    const { clock, bounds, directory } = this.#options;
    const model = new PrefillModel(FIRST_MILLISECONDS_PER_TOKEN);
    const scheduler = new ServiceScheduler({
      ...this.#options,
      service,
      chooser: createChooser(service, model),
      coldBound: computeColdBound(service, bounds),
    });
    const retries = new RetryAllowance(clock, bounds.retries);
    this.#hosts.set(service.name, { service, scheduler, retries, model });
    for (const record of directory.listService(service.name)) {
      const endpoint = scheduler.updateEndpoint(record, false);
      const age = clock.wallTime() - record.startedAtUnixMilliseconds;
      if (record.coldMilliseconds > 0) {
        endpoint.cold.markCold(record.coldMilliseconds);
      } else if (age < service.coldMilliseconds) {
        endpoint.cold.markCold(service.coldMilliseconds);
      }
      scheduler.updateEndpoint(record, directory.isAvailable(record.id));
    }
  }

  #applyChange({ kind, entry }: DirectoryChange): void {
    const { directory, crashes, forgetAddress } = this.#options;
    const { record } = entry;
    const host = this.#hosts.get(record.service);
    if (kind === DirectoryChangeKind.Removed) {
      host?.scheduler.removeEndpoint(record.id);
      forgetAddress(`${record.host}:${record.port}`);
      return;
    }
    if (host === undefined) {
      return;
    }
    // Nothing may be granted before it is known how cold the endpoint is.
    const endpoint = host.scheduler.updateEndpoint(record, false);
    if (kind === DirectoryChangeKind.Started) {
      endpoint.restart();
      endpoint.cold.markStart(host.service.coldMilliseconds);
      crashes.confirmCrash(record.id);
    }
    if (record.coldMilliseconds > 0) {
      endpoint.cold.markCold(record.coldMilliseconds);
    }
    host.scheduler.updateEndpoint(record, directory.isAvailable(record.id));
  }
}

function createChooser(
  service: ForwardedService,
  model: PrefillModel,
): EndpointChooser {
  return service.engine === undefined
    ? new PlainChooser()
    : new EngineChooser(service.engine, model);
}

function computeColdBound(
  service: ForwardedService,
  bounds: FleetBounds,
): ColdBound {
  const { coldMilliseconds, coldRequestsPerSecond } = service;
  const arrivalsPerSecond = coldRequestsPerSecond === 0
    ? Infinity
    : coldRequestsPerSecond * bounds.coldFactor + bounds.coldExtra;
  return { coldMilliseconds, arrivalsPerSecond };
}
