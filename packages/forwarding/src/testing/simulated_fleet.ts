/** A fleet of VMs in one process, with a simulated clock and network. */

import {
  type Clock,
  createLifetime,
  createSilentLogger,
  Emitter,
  ManualClock,
  RandomSource,
} from "@rattanvane/base";
import { DEFAULT_SUSPECT_SETTINGS, SuspectRegistry } from "@rattanvane/limits";
import { FreezableClock, MemoryNetwork } from "@rattanvane/membership/testing";
import {
  type ConditionalWrite,
  type FeedPosition,
  type PlatformError,
  type TableChanges,
  TableFeed,
  type TableSnapshot,
} from "@rattanvane/platform";
import {
  encodeMessage,
  type LinkChange,
  type Message,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { Result } from "neverthrow";
import { LocalAdmission } from "../admission/local_admission.ts";
import { type ControlNetwork, FleetControl } from "../fleet/fleet_control.ts";
import type { ForwardingSettings } from "../forwarding_settings.ts";
import { RolloutCoordinator } from "../rollouts/rollout_coordinator.ts";
import type { RolloutSettings } from "../rollouts/rollout_record.ts";
import { ShareMeter } from "../scheduling/share_meter.ts";
import { ServiceRegistry } from "../service_registry.ts";
import { CrashTracker } from "../state/crash_tracker.ts";
import { EndpointLimits } from "../state/endpoint_limits.ts";
import { FleetState } from "../state/fleet_state.ts";
import { buildConfiguration, buildEndpoint } from "./fixtures.ts";
import { MemoryFeed } from "./memory_feed.ts";
import { TestRowDecoder } from "./test_dialect.ts";

const CLOCK_RESOLUTION_MILLISECONDS = 1;
const COLD_MILLISECONDS = 60_000;

/** How much a VM has sent and asked of the store. */
export interface VmTraffic {
  messages: number;
  bytes: number;
  storeCalls: number;
}

/** A running VM of a {@link SimulatedFleet}. */
export interface SimulatedVm {
  contact: VmContact;
  fleet: FleetControl;
  state: FleetState;
  limits: EndpointLimits;
  services: ServiceRegistry;
  rollouts: RolloutCoordinator;
  shares: ShareMeter;
  clock: FreezableClock;
  feed: CountingFeed;
  lifetime: AbortController;
}

/** The size and the random seed of a {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  seed: number;
  zones: number;
  endpoints?: number;
  latencyMilliseconds?: number;
  /** Whether the endpoints have just started and stay cold for long. */
  isCold?: boolean;
  rollouts?: RolloutSettings;
}

/** Counts one VM's calls, which may be rejected, to the store of all VMs. */
export class CountingFeed extends TableFeed {
  calls = 0;
  /** While set, the store rejects this VM's calls. */
  isRejected = false;
  /** By how much changes reach this VM later than the others. */
  changesDelayMilliseconds = 0;
  readonly #store: MemoryFeed;
  readonly #rejecting: MemoryFeed;
  readonly #clock: Clock;

  constructor(store: MemoryFeed, clock: Clock) {
    super();
    this.#store = store;
    this.#clock = clock;
    this.#rejecting = new MemoryFeed();
    this.#rejecting.isDown = true;
  }

  override readTable(
    table: string,
  ): Promise<Result<TableSnapshot, PlatformError>> {
    return this.#pickFeed().readTable(table);
  }

  override async waitForChanges(
    position: FeedPosition,
    signal: AbortSignal,
  ): Promise<Result<TableChanges, PlatformError>> {
    const changes = await this.#pickFeed().waitForChanges(position, signal);
    if (this.changesDelayMilliseconds > 0) {
      await this.#clock.sleep(this.changesDelayMilliseconds, signal);
    }
    return changes;
  }

  override writeRow(
    row: { table: string; key: string; value: Uint8Array },
  ): Promise<Result<void, PlatformError>> {
    return this.#pickFeed().writeRow(row);
  }

  override writeRowsIf(
    write: ConditionalWrite,
  ): Promise<Result<void, PlatformError>> {
    return this.#pickFeed().writeRowsIf(write);
  }

  override removeRow(
    row: { table: string; key: string },
  ): Promise<Result<void, PlatformError>> {
    return this.#pickFeed().removeRow(row);
  }

  #pickFeed(): MemoryFeed {
    this.calls++;
    return this.isRejected ? this.#rejecting : this.#store;
  }
}

/** Starts, stops, freezes and separates VMs that run {@link FleetControl}. */
export class SimulatedFleet {
  readonly clock = new ManualClock(CLOCK_RESOLUTION_MILLISECONDS);
  readonly store = new MemoryFeed(this.clock);
  readonly network: MemoryNetwork;
  readonly vms = new Map<VmId, SimulatedVm>();
  readonly #random: RandomSource;
  readonly #zones: string[];
  readonly #rollouts: RolloutSettings | undefined;

  constructor(options: SimulatedFleetOptions) {
    this.#random = new RandomSource(options.seed);
    this.#rollouts = options.rollouts;
    this.#zones = Array.from(
      { length: options.zones },
      (_, index) => `zone-${index}`,
    );
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.#random,
      latencyMilliseconds: options.latencyMilliseconds ?? 0.5,
      lossFraction: 0,
      measureBytes: (message) => encodeMessage(message).length,
    });
    this.store.put("operator", "configuration", buildConfiguration());
    for (let index = 0; index < (options.endpoints ?? 0); index++) {
      const id = `endpoint-${index}`;
      const zone = this.#zones[index % options.zones] as string;
      this.store.put(
        "endpoints",
        id,
        buildEndpoint(id, {
          zone,
          port: index + 1,
          coldMilliseconds: options.isCold === true ? COLD_MILLISECONDS : 0,
          startedAtUnixMilliseconds: -COLD_MILLISECONDS,
        }),
      );
    }
  }

  /**
   * Starts VMs within 300 ms, spread over the zones in turn. By default the
   * first three are the seeds.
   */
  async startAll(
    count: number,
    seeds: readonly VmContact[] = [0, 1, 2].map((index) =>
      this.buildContact(index)
    ),
  ): Promise<void> {
    const contacts = Array.from(
      { length: count },
      (_, index) => this.buildContact(index),
    );
    const startAt = contacts.map(() => this.#random.nextInteger(0, 300))
      .sort((first, second) => first - second);
    let now = 0;
    for (const [index, contact] of contacts.entries()) {
      const wait = (startAt[index] as number) - now;
      if (wait > 0) {
        await this.clock.advance(wait);
        now += wait;
      }
      this.start(contact, seeds);
    }
  }

  /** Builds the contact of the VM with this number. */
  buildContact(index: number): VmContact {
    return {
      vm: `vm-${index}`,
      zone: this.#zones[index % this.#zones.length] as string,
      host: `vm-${index}`,
      controlPort: 1,
      callerPort: 2,
      capacity: 0.5,
    };
  }

  /** Starts one VM. */
  start(contact: VmContact, seeds: readonly VmContact[]): SimulatedVm {
    const lifetime = createLifetime();
    const { signal } = lifetime;
    const clock = new FreezableClock(this.clock);
    const feed = new CountingFeed(this.store, this.clock);
    const logger = createSilentLogger();
    const random = new RandomSource(this.#random.nextInteger(1, 1 << 30));
    const settings = this.#buildSettings(contact, seeds);
    const suspects = new SuspectRegistry(clock, DEFAULT_SUSPECT_SETTINGS);
    const shares = new ShareMeter({ clock, periodMilliseconds: 4_000 });
    const state = new FleetState({
      feed,
      decoder: new TestRowDecoder(),
      clock,
      random,
      logger,
      maxKeyAgeMilliseconds: 4_600,
      isPolling: () => fleet.isFollower,
    });
    const crashes = new CrashTracker({
      clock,
      logger,
      suspects,
      vm: contact.vm,
    });
    const limits = new EndpointLimits({
      clock,
      logger,
      directory: state.directory,
    }, signal);
    const rollouts = new RolloutCoordinator({
      settings: settings.rollouts,
      vm: contact.vm,
      feed,
      decoder: new TestRowDecoder(),
      clock,
      random,
      logger,
      directory: state.directory,
      orders: state.rolloutOrders,
      storeRestored: state.storeRestored,
      isScheduler: () => fleet.isScheduler,
      countLiveSchedulers: () => fleet.countLiveSchedulers(),
      findScheduler: (service) => services.find(service)?.scheduler,
    }, signal);
    const services: ServiceRegistry = new ServiceRegistry({
      clock,
      random,
      logger,
      notifyPeers: () => fleet.sendSoon(),
      bounds: settings.bounds,
      directory: state.directory,
      limits,
      shares,
      crashes,
      countVms: () => fleet.countLimitSharers(),
      findVersions: (service) => rollouts.findGate(service),
      closeConnections: () => {},
    }, signal);
    const fleet: FleetControl = new FleetControl({
      settings,
      feed,
      clock,
      random,
      logger,
      suspects,
      crashes,
      shares,
      state,
      limits,
      rollouts,
      localAdmission: new LocalAdmission({
        clock,
        shares,
        crashes,
        findRuntime: (service) => services.find(service),
      }),
      isPaused: () => false,
      listSchedulers: () => services.listSchedulers(),
      adoptAttempt: (endpoint) => services.adoptAttempt(endpoint),
      createNetwork: (receive) => this.#connect(contact.vm, receive, clock),
    }, signal);
    state.routesChanged.listen(({ configuration }) => {
      shares.updateCapacity(configuration.costPerSecond);
      services.applyConfiguration(configuration);
    }, signal);
    void state.run(signal);
    void rollouts.run(signal);
    void fleet.start(signal).then(() => fleet.run(signal));
    const vm = {
      contact,
      fleet,
      state,
      limits,
      services,
      rollouts,
      shares,
      clock,
      feed,
      lifetime,
    };
    this.vms.set(contact.vm, vm);
    return vm;
  }

  /** Stops a VM without a word to the others. */
  kill({ contact, lifetime }: SimulatedVm): void {
    lifetime.abort();
    this.network.disconnect(contact.vm);
    this.vms.delete(contact.vm);
  }

  /** Returns what each VM has sent and asked so far. */
  measureTraffic(): Map<VmId, VmTraffic> {
    const traffic = new Map<VmId, VmTraffic>();
    for (const [vm, { feed }] of this.vms) {
      const { messages, bytes } = this.network.countTraffic(vm);
      traffic.set(vm, { messages, bytes, storeCalls: feed.calls });
    }
    return traffic;
  }

  /** Stops all VMs. */
  stop(): void {
    for (const { lifetime } of this.vms.values()) {
      lifetime.abort();
    }
  }

  #connect(
    vm: VmId,
    receive: (from: VmId, message: Message) => void,
    clock: FreezableClock,
  ): ControlNetwork {
    const sender = this.network.connect(vm, {
      handle: receive,
      ready: () => clock.waitForThaw(),
      handlingMilliseconds: 0,
    });
    return {
      start: () => Promise.resolve(),
      send: (to, message) => sender.send(to, message),
      registerContact: () => {},
      linkChanges: new Emitter<LinkChange>(),
    };
  }

  #buildSettings(
    self: VmContact,
    seeds: readonly VmContact[],
  ): ForwardingSettings {
    const listen = { host: self.host, port: self.controlPort };
    return {
      self,
      zone: self.zone,
      zones: this.#zones,
      callers: listen,
      readiness: listen,
      readinessPath: "/ready",
      control: listen,
      seeds: seeds.map((seed) => ({ ...seed, zone: "" })),
      fleetKeys: [],
      rollouts: this.#rollouts,
      bounds: {
        revocationMilliseconds: 5_000,
        retries: { windowMilliseconds: 10_000, ratio: 0.2, extra: 400 },
        coldRateFactor: 1.5,
        coldExtraRequestsPerSecond: 5,
        sharePeriodMilliseconds: 4_000,
        graceMilliseconds: 8_000,
      },
    };
  }
}
