/** A step-by-step simulation of the pools of one service and their VMs. */

import {
  createSilentLogger,
  type Logger,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import type { FleetConfiguration } from "@rattanvane/configuration";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import {
  type IngressMessage,
  MessageKind,
  type QueueEntry,
  type SchedulerMessage,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { PoolObserver } from "../pool_observer.ts";
import { PoolScheduler } from "../pool_scheduler.ts";
import {
  DEFAULT_POOL_SCHEDULER_SETTINGS,
  type PoolSchedulerSettings,
} from "../settings.ts";
import type { FakeEndpoint } from "./fake_endpoint.ts";
import { FakeIngress } from "./fake_ingress.ts";
import {
  buildConfiguration,
  buildEndpoints,
  SERVICE,
  type WorldConfigurationOptions,
} from "./world_configuration.ts";
import { WorldNetwork } from "./world_network.ts";

/** The length of a simulation step, which is also the network delay. */
const STEP_MILLISECONDS = 5;

const LOAD_PERIOD_MILLISECONDS = 200;
const PROGRESS_PERIOD_MILLISECONDS = 100;
const GOSSIP_PERIOD_MILLISECONDS = 700;

const INGRESS_KINDS: ReadonlySet<string> = new Set([
  MessageKind.Grant,
  MessageKind.Refuse,
  MessageKind.RequestWork,
  MessageKind.NotScheduler,
  MessageKind.EntryMoved,
]);

/** The zones, settings and collaborators of a simulation. */
export interface PoolWorldOptions extends WorldConfigurationOptions {
  seed: number;
  settings?: Partial<PoolSchedulerSettings>;
  leased?: boolean;
  logger?: Logger;
  observer?: PoolObserver;
}

/** A scheduler that runs in the simulation. */
export interface RunningScheduler {
  zone: string;
  vm: VmId;
  scheduler: PoolScheduler;
  suspects: SuspectRegistry;
  abort: AbortController;
  /** VMs of the zone that it considers dead. */
  assumedDead: ReadonlySet<VmId>;
}

/** The properties of a request to be added. */
export interface RequestOptions {
  vm: VmId;
  organisation: string;
  cost: number;
  hint?: number;
  fingerprint?: string;
  prefix?: string;
  avoid?: string[];
  waitLimitMilliseconds?: number;
}

/** Slot usage summed over the steps in which requests waited. */
export interface SlotUsage {
  /** The number of running requests. */
  used: number;
  /** The number of requests that the endpoints could have run. */
  available: number;
}

/** Simulates pools, VMs and the messages between them, and no other part. */
export class PoolWorld {
  readonly clock = new ManualClock();
  readonly random: RandomSource;
  readonly network: WorldNetwork;
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly ingresses = new Map<VmId, FakeIngress>();
  readonly schedulers: RunningScheduler[] = [];
  /** Cost units served so far, by organisation. */
  readonly service = new Map<string, number>();
  configuration: FleetConfiguration;
  readonly #options: PoolWorldOptions;
  #nextRequest = 1;
  #nextTerm = 1;

  constructor(options: PoolWorldOptions) {
    this.#options = options;
    this.random = new RandomSource(options.seed);
    this.network = new WorldNetwork(
      STEP_MILLISECONDS,
      () => this.clock.now(),
    );
    for (const zone of options.zones) {
      for (const endpoint of buildEndpoints(zone)) {
        this.endpoints.set(endpoint.options.name, endpoint);
      }
      for (let index = 0; index < zone.vms; index++) {
        this.#addIngress(zone.zone, `${zone.zone}-vm${index}`);
      }
    }
    this.configuration = buildConfiguration(options, this.endpoints.values());
  }

  /** Starts a scheduler; schedulers already running in the zone continue. */
  startScheduler(
    vm: VmId,
    assumedDead: ReadonlySet<VmId> = new Set(),
  ): RunningScheduler {
    const zone = vm.split("-")[0] as string;
    const { seed, settings, leased = true, observer } = this.#options;
    const suspects = new SuspectRegistry(this.clock, DEFAULT_SUSPECT_SETTINGS);
    const scheduler = new PoolScheduler({
      pool: { zone, service: SERVICE },
      term: { number: this.#nextTerm++, holder: vm },
      leased,
      self: vm,
      sender: this.network.createSender(vm),
      clock: this.clock,
      random: new RandomSource(seed + this.#nextTerm),
      logger: this.#options.logger ?? createSilentLogger(),
      settings: { ...DEFAULT_POOL_SCHEDULER_SETTINGS, ...settings },
      findContact: createContact,
      suspects,
      ...(observer === undefined ? {} : { observer }),
    });
    const abort = new AbortController();
    const running = { zone, vm, scheduler, suspects, abort, assumedDead };
    this.schedulers.push(running);
    scheduler.updateConfiguration(this.configuration);
    this.updatePeers();
    scheduler.run(abort.signal);
    return running;
  }

  /** Stops a scheduler without a handover. */
  stopScheduler(running: RunningScheduler): void {
    running.abort.abort();
    this.schedulers.splice(this.schedulers.indexOf(running), 1);
    this.updatePeers();
  }

  /** Updates every scheduler's live VMs and siblings. */
  updatePeers(): void {
    for (const { zone, scheduler, assumedDead } of this.schedulers) {
      const ingresses: VmId[] = [];
      for (const [vm, ingress] of this.ingresses) {
        const isInZone = ingress.options.pool.zone === zone;
        if (isInZone && ingress.isAlive && !assumedDead.has(vm)) {
          ingresses.push(vm);
        }
      }
      const siblings = this.schedulers
        .filter((other) => other.zone !== zone)
        .map((other) => ({
          pool: { zone: other.zone, service: SERVICE },
          vm: other.vm,
        }));
      scheduler.updatePeers({ ingresses, siblings });
    }
  }

  /** Drains a zone or ends its drain. */
  updateZone(name: string, drained: boolean): void {
    const zones = new Map(this.configuration.zones);
    zones.set(name, { name, region: "r", drained });
    this.#updateConfiguration({ ...this.configuration, zones });
  }

  /** Drains an endpoint or ends its drain. */
  updateEndpoint(name: string, drained: boolean): void {
    const endpoints = new Map(this.configuration.endpoints);
    const endpoint = endpoints.get(name);
    if (endpoint !== undefined) {
      endpoints.set(name, { ...endpoint, drained });
    }
    this.#updateConfiguration({ ...this.configuration, endpoints });
  }

  /** Adds a request at a VM; returns its id. */
  addRequest(options: RequestOptions): string {
    const request = `r${this.#nextRequest++}`;
    const entry: QueueEntry = {
      request,
      ingress: options.vm,
      organisation: options.organisation,
      attemptsMade: 0,
      hintedCost: options.hint ?? 0,
      waitLimitMilliseconds: options.waitLimitMilliseconds ?? 600_000,
      waitedMilliseconds: 0,
      fingerprint: options.fingerprint ?? request,
      prefix: options.prefix ?? "",
      avoid: options.avoid ?? [],
    };
    this.findIngress(options.vm).add({ entry, cost: options.cost });
    return request;
  }

  /** Adds a number of equal requests. */
  addRequests(count: number, options: RequestOptions): void {
    for (let added = 0; added < count; added++) {
      this.addRequest(options);
    }
  }

  findIngress(vm: VmId): FakeIngress {
    return this.ingresses.get(vm) as FakeIngress;
  }

  findEndpoint(name: string): FakeEndpoint {
    return this.endpoints.get(name) as FakeEndpoint;
  }

  /** Counts the waiting requests of an organisation at a VM. */
  countWaiting(vm: VmId, organisation: string): number {
    let count = 0;
    for (const { entry } of this.findIngress(vm).waiting.values()) {
      count += entry.organisation === organisation ? 1 : 0;
    }
    return count;
  }

  /** Sums a value over all ingresses. */
  sumIngresses(count: (ingress: FakeIngress) => number): number {
    let sum = 0;
    for (const ingress of this.ingresses.values()) {
      sum += count(ingress);
    }
    return sum;
  }

  /** Sums a value over all endpoints. */
  sumEndpoints(count: (endpoint: FakeEndpoint) => number): number {
    let sum = 0;
    for (const endpoint of this.endpoints.values()) {
      sum += count(endpoint);
    }
    return sum;
  }

  /** Stops a VM and its schedulers, and updates all others. */
  killVm(vm: VmId): void {
    this.findIngress(vm).isAlive = false;
    for (const running of this.schedulers.filter((one) => one.vm === vm)) {
      this.stopScheduler(running);
    }
    this.updatePeers();
  }

  /** Runs the simulation for a time; calls `before` ahead of each step. */
  async run(milliseconds: number, before?: () => void): Promise<void> {
    const end = this.clock.now() + milliseconds;
    while (this.clock.now() < end) {
      before?.();
      await this.#runStep();
    }
  }

  /** Runs the simulation and measures slot usage while requests wait. */
  async measureSlotUsage(
    milliseconds: number,
    before?: () => void,
  ): Promise<SlotUsage> {
    const use = { used: 0, available: 0 };
    await this.run(milliseconds, () => {
      before?.();
      if (this.sumIngresses(({ waiting }) => waiting.size) > 0) {
        use.used += this.sumEndpoints(({ jobs }) => jobs.size);
        use.available += this.sumEndpoints(({ capacity }) => capacity);
      }
    });
    return use;
  }

  async #runStep(): Promise<void> {
    await this.clock.advance(STEP_MILLISECONDS);
    const now = this.clock.now();
    for (const endpoint of this.endpoints.values()) {
      for (const [name, units] of endpoint.runStep(now, STEP_MILLISECONDS)) {
        this.service.set(name, (this.service.get(name) ?? 0) + units);
      }
    }
    this.#deliver();
    if (now % LOAD_PERIOD_MILLISECONDS === 0) {
      this.#reportLoad();
    }
    if (now % PROGRESS_PERIOD_MILLISECONDS === 0) {
      this.#sendProgress();
    }
    if (now % GOSSIP_PERIOD_MILLISECONDS === 0) {
      this.#gossipSuspects();
    }
  }

  #deliver(): void {
    for (const { from, to, message } of this.network.removeDue()) {
      if (INGRESS_KINDS.has(message.kind)) {
        const ingress = this.findIngress(to);
        if (ingress.isAlive) {
          ingress.handle(from, message as IngressMessage);
        }
        continue;
      }
      const host = this.schedulers.find(({ vm }) => vm === to);
      host?.scheduler.handle(from, message as SchedulerMessage);
    }
  }

  #reportLoad(): void {
    for (const { zone, scheduler } of this.schedulers) {
      for (const [name, endpoint] of this.endpoints) {
        if (this.configuration.endpoints.get(name)?.zone !== zone) {
          continue;
        }
        const report = endpoint.readLoad();
        if (report !== undefined) {
          scheduler.receiveLoad(name, report);
        } else if (endpoint.isDown) {
          scheduler.markEndpointUnreachable(name);
        }
      }
    }
  }

  #sendProgress(): void {
    for (const ingress of this.ingresses.values()) {
      if (ingress.isAlive) {
        ingress.sendProgress();
      }
    }
  }

  #gossipSuspects(): void {
    for (const one of this.schedulers) {
      for (const other of this.schedulers) {
        if (!this.network.isPartitioned(one.vm, other.vm)) {
          other.suspects.merge(one.suspects.listSuspects());
        }
      }
    }
  }

  #updateConfiguration(configuration: FleetConfiguration): void {
    this.configuration = configuration;
    for (const { scheduler } of this.schedulers) {
      scheduler.updateConfiguration(configuration);
    }
  }

  #addIngress(zone: string, vm: VmId): void {
    const ingress = new FakeIngress({
      vm,
      pool: { zone, service: SERVICE },
      send: (to, message) => this.network.send(vm, to, message),
      findEndpoint: (name) => this.findEndpoint(name),
    });
    this.ingresses.set(vm, ingress);
  }
}

function createContact(vm: VmId): VmContact {
  const zone = vm.split("-")[0] ?? "";
  return { vm, zone, host: "127.0.0.1", controlPort: 1, callerPort: 2 };
}
