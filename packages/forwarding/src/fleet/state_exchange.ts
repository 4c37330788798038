/** Exchange of soft state between the schedulers of the fleet. */

import {
  ChildAbort,
  type Clock,
  type Emitter,
  type Logger,
} from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import {
  type EndpointUse,
  type ForwardingStateMessage,
  MessageKind,
  type MessageSender,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { CrashTracker } from "../state/crash_tracker.ts";
import type { EndpointDirectory } from "../state/endpoint_directory.ts";
import type { EndpointLimits } from "../state/endpoint_limits.ts";
import type { RolloutCoordinator } from "../rollouts/rollout_coordinator.ts";
import type { ClockReading } from "../state/freshness.ts";
import type { TableReplica } from "../state/table_replica.ts";
import type { KeptPlaces } from "../scheduling/kept_places.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";
import { buildAge, type TableDistributor } from "./table_distributor.ts";

const EXCHANGE_PERIOD_MILLISECONDS = 100;
/** Minimum time between two messages, however often sends are requested. */
const MIN_INTERVAL_MILLISECONDS = 20;
/** With more peers, the intervals grow in proportion. */
const PEERS_AT_FULL_RATE = 8;
/** How many send times of this VM's messages are kept, the newest ones. */
const SEND_TIMES_CAPACITY = 128;
/** A peer counts as live for this time after its last message. */
const LIVENESS_MILLISECONDS = 1_500;
/** How long a VM that sends no state waits for a change of its role at most. */
const ROLE_CHECK_MILLISECONDS = 10_000;
/**
 * A starting VM regards itself as a scheduler until it has heard of the others,
 * and sends nothing before it had time to.
 */
const START_DELAY_MILLISECONDS = 300;

/** A peer whose state is overdue by this is checked for a failure. */
const SILENCE_MILLISECONDS = 600;

interface PeerState {
  lastReceivedAt: number;
  lastSequence: number;
  /** Whether its silence was reported. */
  isReported: boolean;
}

/** Dependencies of a {@link StateExchange}. */
export interface StateExchangeOptions {
  sender: MessageSender;
  clock: Clock;
  logger: Logger;
  suspects: SuspectRegistry;
  crashes: CrashTracker;
  shares: ShareMeter;
  configuration: TableReplica;
  endpoints: TableReplica;
  directory: EndpointDirectory;
  limits: EndpointLimits;
  /** Undefined if refused callers have no places. */
  places?: KeptPlaces | undefined;
  tables: TableDistributor;
  rollouts?: RolloutCoordinator | undefined;
  /** Whether this VM is a scheduler; others send and merge no state. */
  isScheduler: () => boolean;
  /** Emits when the roles in this VM's zone have changed. */
  roleChanges: Emitter<void>;
  listPeers: () => Iterable<VmId>;
  listSchedulers: () => Iterable<ServiceScheduler>;
  /** The schedulers of this VM's zone. */
  listZoneSchedulers: () => readonly VmContact[];
  /** Minimum time between two messages to other zones; unset for none. */
  otherZoneIntervalMilliseconds?: number;
  countZoneVms: () => number;
  readZoneDigest: () => string;
  /** Called when a peer's state is overdue. */
  reportSilence: (vm: VmId) => void;
}

/** Sends this VM's state to every other scheduler periodically. */
export class StateExchange {
  readonly #options: StateExchangeOptions;
  readonly #peers = new Map<VmId, PeerState>();
  readonly #sendTimes = new Map<number, ClockReading>();
  #sequence = 0;
  #intervalAbort: ChildAbort | undefined;
  /** When other zones were last sent this VM's state. */
  #sentToOthersAt = -Infinity;

  constructor(options: StateExchangeOptions) {
    this.#options = options;
  }

  /** Counts the peers that sent a message recently. */
  countLive(): number {
    const earliest = this.#options.clock.now() - LIVENESS_MILLISECONDS;
    let live = 0;
    for (const { lastReceivedAt } of this.#peers.values()) {
      live += lastReceivedAt >= earliest ? 1 : 0;
    }
    return live;
  }

  /** The age of the oldest state of a live peer, in milliseconds. */
  computeOldestStateAge(): number {
    const now = this.#options.clock.now();
    let oldest = 0;
    for (const { lastReceivedAt } of this.#peers.values()) {
      const age = now - lastReceivedAt;
      oldest = age <= LIVENESS_MILLISECONDS ? Math.max(oldest, age) : oldest;
    }
    return oldest;
  }

  /** Sends after the minimum interval instead of at the end of the period. */
  sendSoon(): void {
    this.#intervalAbort?.abort();
  }

  /** Sends this VM's state until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, listPeers, isScheduler } = this.#options;
    await clock.sleep(START_DELAY_MILLISECONDS, signal);
    while (!signal.aborted) {
      if (!isScheduler()) {
        await this.#waitForRole(signal);
        continue;
      }
      const peers = [...listPeers()];
      this.#removeSilentPeers();
      this.#sendAll(this.#pickReceivers(peers));
      const scale = Math.max(1, peers.length / PEERS_AT_FULL_RATE);
      await clock.sleep(MIN_INTERVAL_MILLISECONDS * scale, signal);
      this.#intervalAbort = new ChildAbort(signal);
      const remaining = EXCHANGE_PERIOD_MILLISECONDS -
        MIN_INTERVAL_MILLISECONDS;
      await clock.sleep(remaining * scale, this.#intervalAbort.signal);
      this.#intervalAbort.abort();
      this.#intervalAbort = undefined;
    }
  }

  /** Waits until this VM may have become a scheduler. */
  async #waitForRole(signal: AbortSignal): Promise<void> {
    const change = new ChildAbort(signal);
    this.#options.roleChanges.listen(() => change.abort(), change.signal);
    await this.#options.clock.sleep(ROLE_CHECK_MILLISECONDS, change.signal);
    change.abort();
  }

  /** Merges the state of another scheduler. */
  merge(from: VmId, message: ForwardingStateMessage): void {
    const { clock, shares, suspects } = this.#options;
    this.#peers.set(from, {
      lastReceivedAt: clock.now(),
      lastSequence: message.sequence,
      isReported: false,
    });
    const uses = new Map(message.endpoints.map((use) => [use.endpoint, use]));
    for (const scheduler of this.#options.listSchedulers()) {
      scheduler.mergePeer(from, uses);
    }
    this.#mergeDownReports(message.endpoints);
    shares.mergePeer(from, message.organisations);
    if (message.suspects.length > 0) {
      suspects.merge(message.suspects);
    }
    this.#options.crashes.mergeReports(
      message.crashes ?? [],
      message.soundParts ?? [],
    );
    for (const departure of message.departures ?? []) {
      this.#options.directory.recordDeparture(departure);
    }
    for (const limit of message.limits ?? []) {
      this.#options.limits.record(limit);
    }
    this.#options.places?.merge(message.places ?? []);
    if (message.rollouts !== undefined) {
      this.#options.rollouts?.mergeNews(message.rollouts);
    }
    this.#mergeAges(from, message);
  }

  #mergeDownReports(uses: readonly EndpointUse[]): void {
    for (const { endpoint, downAgeMilliseconds } of uses) {
      if (downAgeMilliseconds !== undefined) {
        this.#options.crashes.mergeDownReport(endpoint, downAgeMilliseconds);
      }
    }
  }

  #removeSilentPeers(): void {
    const now = this.#options.clock.now();
    for (const [vm, peer] of this.#peers) {
      const silence = now - peer.lastReceivedAt;
      if (silence >= SILENCE_MILLISECONDS && !peer.isReported) {
        peer.isReported = true;
        this.#options.reportSilence(vm);
      }
      if (silence > LIVENESS_MILLISECONDS) {
        this.#peers.delete(vm);
      }
    }
  }

  /** Leaves out the VMs of other zones until their interval has passed. */
  #pickReceivers(peers: readonly VmId[]): readonly VmId[] {
    const { clock, listZoneSchedulers, otherZoneIntervalMilliseconds = 0 } =
      this.#options;
    const now = clock.now();
    if (now - this.#sentToOthersAt >= otherZoneIntervalMilliseconds) {
      this.#sentToOthersAt = now;
      return peers;
    }
    const own = new Set(listZoneSchedulers().map(({ vm }) => vm));
    return peers.filter((vm) => own.has(vm));
  }

  #sendAll(peers: readonly VmId[]): void {
    if (peers.length === 0) {
      return;
    }
    const { sender, configuration } = this.#options;
    this.#sequence++;
    const sendTime = configuration.freshness.readClocks();
    this.#sendTimes.set(this.#sequence, sendTime);
    this.#sendTimes.delete(this.#sequence - SEND_TIMES_CAPACITY);
    const state = this.#buildState();
    for (const vm of peers) {
      const echo = this.#peers.get(vm)?.lastSequence ?? 0;
      sender.send(vm, { ...state, echo });
    }
  }

  #buildState(): ForwardingStateMessage {
    const { shares, suspects, configuration } = this.#options;
    const endpoints: EndpointUse[] = [];
    for (const scheduler of this.#options.listSchedulers()) {
      for (const endpoint of scheduler.listEndpoints()) {
        const use = endpoint.buildLocalUse();
        if (use !== undefined) {
          endpoints.push(use);
        }
      }
    }
    const { crashes, soundParts } = this.#options.crashes.listReports();
    const departures = this.#options.directory.listDepartures();
    const limits = this.#options.limits.list();
    const places = this.#options.places?.takeUnsent() ?? [];
    const rollouts = this.#options.rollouts?.buildNews();
    const configurationAge = buildAge(configuration);
    const registrations = buildAge(this.#options.endpoints);
    return {
      kind: MessageKind.ForwardingState,
      sequence: this.#sequence,
      echo: 0,
      endpoints,
      organisations: shares.listLocal(),
      suspects: suspects.listSuspects(),
      schedulers: [...this.#options.listZoneSchedulers()],
      zoneVms: this.#options.countZoneVms(),
      zoneDigest: this.#options.readZoneDigest(),
      ...(crashes.length === 0 ? {} : { crashes }),
      ...(soundParts.length === 0 ? {} : { soundParts }),
      ...(departures.length === 0 ? {} : { departures }),
      ...(limits.length === 0 ? {} : { limits }),
      ...(places.length === 0 ? {} : { places }),
      ...(rollouts === undefined ? {} : { rollouts }),
      ...(configurationAge === undefined
        ? {}
        : { configuration: configurationAge }),
      ...(registrations === undefined ? {} : { registrations }),
    };
  }

  #mergeAges(from: VmId, message: ForwardingStateMessage): void {
    const { configuration, endpoints, tables } = this.#options;
    const sentAt = this.#sendTimes.get(message.echo);
    if (message.configuration !== undefined) {
      const { table } = configuration;
      tables.mergeAge(from, { table, ...message.configuration }, sentAt);
    }
    if (message.registrations !== undefined) {
      const { table } = endpoints;
      tables.mergeAge(from, { table, ...message.registrations }, sentAt);
    }
  }
}
