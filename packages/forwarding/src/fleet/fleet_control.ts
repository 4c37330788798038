/** Connects this VM with the others: membership, roles, state and tables. */

import type { Clock, Logger, RandomSource } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import {
  DEFAULT_MEMBERSHIP_SETTINGS,
  Membership,
  MembershipChangeKind,
  type MembershipSettings,
} from "@rattanvane/membership";
import type { TableFeed } from "@rattanvane/platform";
import {
  type EndpointDeparture,
  type EndpointLimit,
  type ForwardingStateMessage,
  type MembershipMessage,
  type MemberSyncMessage,
  type Message,
  MessageKind,
  PeerNetwork,
  type VmContact,
  type VmId,
  type ZoneId,
} from "@rattanvane/protocol";
import type { Admission } from "../admission/admission.ts";
import {
  AdmissionServer,
  type AdoptedAttempt,
} from "../admission/admission_server.ts";
import { RemoteAdmission } from "../admission/remote_admission.ts";
import { SchedulerSelector } from "../admission/scheduler_selector.ts";
import type { ForwardingSettings } from "../forwarding_settings.ts";
import type { KeptPlaces } from "../scheduling/kept_places.ts";
import type { RolloutCoordinator } from "../rollouts/rollout_coordinator.ts";
import type { ServiceScheduler } from "../scheduling/service_scheduler.ts";
import type { ShareMeter } from "../scheduling/share_meter.ts";
import type { CrashTracker } from "../state/crash_tracker.ts";
import type { EndpointLimits } from "../state/endpoint_limits.ts";
import type { FleetState } from "../state/fleet_state.ts";
import { hashSchedulers, MemberSync } from "./member_sync.ts";
import { MembershipGossip } from "./membership_gossip.ts";
import { SchedulerDirectory } from "./scheduler_directory.ts";
import { SchedulerRoles } from "./scheduler_roles.ts";
import { StateExchange } from "./state_exchange.ts";
import { TableDistributor } from "./table_distributor.ts";
import { VmList } from "./vm_list.ts";

/**
 * A scheduler probes the VMs that stop sending to it, and every other VM sends to
 * one, so that regular probes may be few.
 */
const MEMBERSHIP_SETTINGS: MembershipSettings = {
  ...DEFAULT_MEMBERSHIP_SETTINGS,
  peers: [],
  probePeriodMilliseconds: 1_500,
  suspicionMilliseconds: 900,
  slowProbePeriodMilliseconds: 2_000,
};

/** The part of a VM's connections for peers that are not authenticated yet. */
const HANDSHAKES_FRACTION = 0.05;
const MIN_HANDSHAKES = 8;
const MAX_HANDSHAKES = 128;

/** Minimum time between two messages about the zone to the same VM. */
const ZONE_INTERVAL_MILLISECONDS = 350;
/**
 * Minimum time between two states to schedulers of other zones, where traffic
 * between zones has a cost. Fewer requests go there then.
 */
const OTHER_ZONE_STATE_INTERVAL_MILLISECONDS = 200;

/** The connections to the other VMs. */
export type ControlNetwork = Pick<
  PeerNetwork,
  "start" | "send" | "registerContact" | "linkChanges"
>;

/** Handles a message from another VM. */
export type ReceiveMessage = (from: VmId, message: Message) => void;

/** Dependencies and settings of {@link FleetControl}. */
export interface FleetControlOptions {
  settings: ForwardingSettings;
  feed: TableFeed;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  suspects: SuspectRegistry;
  crashes: CrashTracker;
  shares: ShareMeter;
  state: FleetState;
  limits: EndpointLimits;
  /** Undefined if refused callers have no places. */
  places?: KeptPlaces | undefined;
  /** Undefined where roll-outs are not configured. */
  rollouts?: RolloutCoordinator | undefined;
  /** Decides on requests that this VM schedules. */
  localAdmission: Admission;
  /** Whether an endpoint asked this VM to send nothing for now. */
  isPaused: (endpoint: string) => boolean;
  listSchedulers: () => Iterable<ServiceScheduler>;
  /** Counts a running attempt at an endpoint; undefined if it is not known. */
  adoptAttempt: (endpoint: string) => AdoptedAttempt | undefined;
  /** Creates the connections; by default over TCP. */
  createNetwork?: (receive: ReceiveMessage) => ControlNetwork;
}

/** Runs this VM's part in the fleet, as a scheduler or as a member. */
export class FleetControl {
  /** Admits requests, with the help of a scheduler if this VM is not one. */
  readonly admission: Admission;
  readonly #options: FleetControlOptions;
  readonly #network: ControlNetwork;
  readonly #membership: Membership;
  readonly #roles: SchedulerRoles;
  readonly #directory: SchedulerDirectory;
  readonly #selector: SchedulerSelector;
  readonly #remote: RemoteAdmission;
  readonly #server: AdmissionServer;
  readonly #tables: TableDistributor;
  readonly #exchange: StateExchange;
  readonly #sync: MemberSync;
  readonly #vmList: VmList;
  /** The schedulers of other zones, as this VM's scheduler named them. */
  #namedSchedulers: readonly VmContact[] = [];
  /** When the zone was last sent to a VM whose view of it differed. */
  readonly #zoneSentAt = new Map<VmId, number>();

  constructor(options: FleetControlOptions, signal: AbortSignal) {
    this.#options = options;
    const { settings, clock, logger, state } = options;
    const { self } = settings;
    this.#network = this.#createNetwork();
    const sender = this.#network;
    this.#membership = new Membership({
      ...options,
      self,
      sender,
      logger: logger.forPart("membership"),
      settings: MEMBERSHIP_SETTINGS,
      gossip: new MembershipGossip(),
    });
    this.#roles = new SchedulerRoles({
      self,
      members: this.#membership,
      zones: settings.zones.length,
      clock,
      logger: logger.forPart("membership"),
    });
    this.#directory = new SchedulerDirectory({
      self,
      roles: this.#roles,
      members: this.#membership,
      otherZones: settings.zones.filter((zone) => zone !== self.zone),
      clock,
    });
    this.#selector = new SchedulerSelector({
      self: self.vm,
      clock,
      logger: logger.forPart("scheduler"),
      isScheduler: () => this.#roles.isScheduler,
      listZoneSchedulers: () => this.#roles.schedulers,
      listOtherSchedulers: () => this.#namedSchedulers,
    });
    this.#remote = new RemoteAdmission({
      self: self.vm,
      selector: this.#selector,
      local: options.localAdmission,
      sender,
      clock,
      logger: logger.forPart("scheduler"),
      hasVersions: (service) =>
        options.rollouts?.findGate(service)?.isActive === true,
      isClosed: (endpoint) =>
        state.directory.isClosed(endpoint) || options.isPaused(endpoint),
    }, signal);
    this.admission = this.#remote;
    this.#server = new AdmissionServer({
      admission: options.localAdmission,
      sender,
      clock,
      logger: logger.forPart("scheduler"),
      adoptAttempt: options.adoptAttempt,
      reportSilence: (vm) => this.#membership.checkSilentVm(vm),
    });
    this.#tables = new TableDistributor({
      replicas: [state.configuration, state.endpoints],
      sender,
      clock,
      logger: logger.forPart("peers"),
      listReceivers: () => this.#listTableReceivers(),
      computeHold: () => state.directory.holdMilliseconds,
      extendHold: (milliseconds) => state.directory.extendHold(milliseconds),
    });
    this.#exchange = this.#createExchange();
    this.#sync = new MemberSync({
      selector: this.#selector,
      admission: this.#remote,
      tables: this.#tables,
      rollouts: options.rollouts,
      readZoneDigest: () => this.#membership.zoneDigest,
      freshness: state.configuration.freshness,
      sender,
      clock,
      logger: logger.forPart("peers"),
    });
    this.#vmList = new VmList({
      ...options,
      self,
      logger: logger.forPart("membership"),
      storeRestored: state.storeRestored,
      isFollower: () => this.#roles.isFollower,
      isAnswering: (vm) =>
        this.#membership.listAnswering(self.zone).some((known) =>
          known.vm === vm
        ),
      addContacts: (contacts) => this.#membership.addSeeds(contacts),
    });
  }

  /** Listens for other VMs; throws when the port is in use. */
  async start(signal: AbortSignal): Promise<void> {
    const { state, limits } = this.#options;
    this.updateSeeds(this.#options.settings.seeds);
    this.#roles.start(signal);
    this.#tables.start(signal);
    this.#network.linkChanges.listen(({ vm, connected }) => {
      if (!connected && vm === this.#selector.current) {
        this.#selector.recordLoss(vm, "the connection broke");
      }
    }, signal);
    this.#membership.changes.listen(({ kind, contact }) => {
      if (kind === MembershipChangeKind.Died) {
        this.#zoneSentAt.delete(contact.vm);
      }
    }, signal);
    state.directory.departures.listen(
      (departure) => this.#reportDeparture(departure),
      signal,
    );
    limits.changes.listen(
      (limit) => this.#reportLimit(limit),
      signal,
    );
    this.#selector.losses.listen(
      (vm) => this.#membership.checkSilentVm(vm),
      signal,
    );
    this.#sync.schedulerLists.listen((schedulers) => {
      this.#namedSchedulers = schedulers;
    }, signal);
    await this.#network.start(signal);
  }

  /** Takes part in the fleet until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.#vmList.run(signal),
      this.#membership.run(signal),
      this.#exchange.run(signal),
      this.#sync.run(signal),
      this.#server.run(signal),
    ]);
  }

  /** Adds seed VMs to connect to. */
  updateSeeds(seeds: readonly VmContact[]): void {
    this.#membership.addSeeds(seeds);
  }

  /** Sends this VM's state to the other schedulers before the period ends. */
  sendSoon(): void {
    this.#exchange.sendSoon();
  }

  /** Announces that this VM leaves, and gives up the role of a scheduler. */
  async leave(signal: AbortSignal): Promise<void> {
    this.#membership.announceLeave();
    this.#roles.refresh();
    await this.#vmList.removeSelf(signal);
  }

  /** The VM that schedules this VM's requests; undefined for this VM itself. */
  get scheduler(): VmId | undefined {
    return this.#selector.current;
  }

  /** Whether this VM schedules requests. */
  get isScheduler(): boolean {
    return this.#roles.isScheduler;
  }

  /** Whether this VM follows the store for other VMs of its zone too. */
  get isFollower(): boolean {
    return this.#roles.isFollower;
  }

  /** Counts the schedulers that sent their state recently. */
  countLiveSchedulers(): number {
    return this.#exchange.countLive();
  }

  /** The age of the oldest state of a live scheduler, in milliseconds. */
  computeOldestStateAge(): number {
    return this.#exchange.computeOldestStateAge();
  }

  /**
   * Lists the other live VMs of this VM's zone; without its schedulers if there
   * are others, since all VMs of the zone depend on these.
   */
  listZonePeers(): VmContact[] {
    const { zone, self } = this.#options.settings;
    const peers = this.#membership.listLive(zone).filter(({ vm }) =>
      vm !== self.vm
    );
    const schedulers = new Set(this.#roles.schedulers.map(({ vm }) => vm));
    const members = peers.filter(({ vm }) => !schedulers.has(vm));
    return members.length > 0 ? members : peers;
  }

  /** Lists VMs of other zones, whether they are live or not. */
  listOtherZoneVms(): readonly VmContact[] {
    return this.#vmList.otherZones;
  }

  /** Lists the live VMs of this VM's zone. */
  listZoneVms(): VmId[] {
    const { zone } = this.#options.settings;
    return this.#membership.listLive(zone).map(({ vm }) => vm);
  }

  /** Counts the VMs whose requests this one schedules. */
  countMembers(): number {
    return this.#server.members;
  }

  /** Counts the fleet's VMs; infinite while their number is not known. */
  countVms(): number {
    const known = Math.max(
      this.#directory.countVms(),
      this.#sync.fleetVms,
    );
    const listed = this.#vmList.size;
    if (listed !== undefined) {
      return Math.max(known, listed);
    }
    return this.#sync.fleetVms > 0 ? known : Infinity;
  }

  /**
   * Counts the VMs among which limits of the whole fleet are divided; infinite
   * while this VM must not spend any part of them.
   */
  countLimitSharers(): number {
    return this.#roles.computeLimitSharers(this.countVms());
  }

  #createNetwork(): ControlNetwork {
    const { settings, logger, createNetwork } = this.#options;
    const receive: ReceiveMessage = (from, message) =>
      this.#receive(from, message);
    return createNetwork?.(receive) ?? new PeerNetwork({
      ...this.#options,
      self: settings.self,
      listen: settings.control,
      fleetKeys: settings.fleetKeys,
      logger: logger.forPart("protocol"),
      maxHandshakes: computeMaxHandshakes(settings),
      receive,
    });
  }

  /** A follower sends changes to the zone's schedulers, and all to members. */
  #listTableReceivers(): Set<VmId> {
    const { vm } = this.#options.settings.self;
    const receivers = new Set(this.#server.listMembers());
    if (this.#roles.isFollower) {
      this.#roles.schedulers.forEach((scheduler) =>
        receivers.add(scheduler.vm)
      );
      receivers.delete(vm);
    }
    return receivers;
  }

  #createExchange(): StateExchange {
    const { state, logger } = this.#options;
    return new StateExchange({
      ...this.#options,
      sender: this.#network,
      logger: logger.forPart("peers"),
      configuration: state.configuration,
      endpoints: state.endpoints,
      directory: state.directory,
      limits: this.#options.limits,
      tables: this.#tables,
      isScheduler: () => this.#roles.isScheduler,
      roleChanges: this.#roles.changes,
      listPeers: () => this.#directory.listPeers(),
      listZoneSchedulers: () => this.#roles.schedulers,
      otherZoneIntervalMilliseconds:
        this.#options.settings.zoneCost === undefined
          ? 0
          : OTHER_ZONE_STATE_INTERVAL_MILLISECONDS,
      countZoneVms: () => this.#roles.zoneVms,
      readZoneDigest: () => this.#membership.zoneDigest,
      reportSilence: (vm) => this.#membership.checkSilentVm(vm),
    });
  }

  #receive(from: VmId, message: Message): void {
    switch (message.kind) {
      case MessageKind.Probe:
      case MessageKind.ProbeReply:
      case MessageKind.IndirectProbe:
      case MessageKind.IndirectProbeReply:
        return this.#membership.handle(from, message as MembershipMessage);
      case MessageKind.ForwardingState:
        return this.#mergeState(from, message);
      case MessageKind.EndpointDeparture:
        return this.#options.state.directory.recordDeparture(message);
      case MessageKind.EndpointLimit:
        return this.#options.limits.record(message);
      case MessageKind.ZoneSchedulers:
        return this.#directory.recordZone(
          message.schedulers[0]?.zone ?? "",
          message,
        );
      case MessageKind.RequestTable:
      case MessageKind.TableCopy:
      case MessageKind.TableChanges:
        return this.#tables.handle(from, message);
      case MessageKind.MemberSync:
        return this.#replyToSync(from, message);
      case MessageKind.SubmitRequest:
      case MessageKind.WithdrawRequest:
      case MessageKind.AttemptAnswering:
      case MessageKind.AttemptEnded:
        return this.#server.handle(from, message);
      case MessageKind.MemberSyncReply:
        return this.#sync.handle(from, message);
      case MessageKind.RequestQueued:
      case MessageKind.GrantRequest:
      case MessageKind.RefuseRequest:
        return this.#remote.handle(from, message);
      default:
        this.#options.logger.warn(
          "a message of an unexpected kind was ignored",
          {
            from,
            kind: message.kind,
          },
        );
    }
  }

  /** Schedulers exchange departures with their state. */
  #reportDeparture(departure: EndpointDeparture): void {
    const scheduler = this.#selector.current;
    if (scheduler !== undefined) {
      const kind = MessageKind.EndpointDeparture;
      this.#network.send(scheduler, { kind, ...departure });
    }
  }

  /** Schedulers exchange limits with their state. */
  #reportLimit(limit: EndpointLimit): void {
    const scheduler = this.#selector.current;
    if (scheduler !== undefined) {
      const kind = MessageKind.EndpointLimit;
      this.#network.send(scheduler, { kind, ...limit });
    }
  }

  #mergeState(from: VmId, message: ForwardingStateMessage): void {
    const { schedulers, zoneVms } = message;
    const sender = schedulers?.find(({ vm }) => vm === from);
    if (sender !== undefined && schedulers !== undefined) {
      for (const contact of schedulers) {
        this.#network.registerContact(contact);
      }
      this.#directory.recordZone(sender.zone, {
        schedulers,
        ...(zoneVms === undefined ? {} : { vms: zoneVms }),
      });
    }
    this.#compareZone(from, { zone: sender?.zone, digest: message.zoneDigest });
    if (this.#roles.isScheduler) {
      this.#directory.recordSender(from);
      this.#exchange.merge(from, message);
      return;
    }
    this.#network.send(from, {
      kind: MessageKind.ZoneSchedulers,
      schedulers: [...this.#roles.schedulers],
    });
  }

  /** Sends the VMs of the zone to one of them whose view of it differs. */
  #compareZone(
    from: VmId,
    view: { zone: ZoneId | undefined; digest: string | undefined },
  ): void {
    const { settings, clock } = this.#options;
    const now = clock.now();
    const sentAt = this.#zoneSentAt.get(from) ?? -Infinity;
    const isDue = view.zone === settings.zone &&
      view.digest !== this.#membership.zoneDigest &&
      now - sentAt >= ZONE_INTERVAL_MILLISECONDS;
    if (isDue) {
      this.#zoneSentAt.set(from, now);
      this.#membership.sendZone(from);
    }
  }

  #replyToSync(from: VmId, message: MemberSyncMessage): void {
    this.#server.handle(from, message);
    this.#compareZone(from, {
      zone: this.#options.settings.zone,
      digest: message.zoneDigest,
    });
    const schedulers = this.#directory.listOtherZones();
    const isListed = hashSchedulers(schedulers) === message.schedulersDigest;
    const vms = this.countVms();
    const rollouts = this.#options.rollouts?.listRecords() ?? [];
    this.#network.send(from, {
      kind: MessageKind.MemberSyncReply,
      sequence: message.sequence,
      isScheduler: this.#roles.isScheduler,
      fleetVms: Number.isFinite(vms) ? vms : 0,
      tables: this.#tables.listAges(),
      ...(isListed ? {} : { schedulers }),
      ...(rollouts.length === 0 ? {} : { rollouts }),
    });
  }
}

/** Computes how many peers of a VM may be without authentication. */
function computeMaxHandshakes({ machine }: ForwardingSettings): number {
  const available = machine?.connections ?? Infinity;
  const part = Math.floor(available * HANDSHAKES_FRACTION);
  return Math.min(MAX_HANDSHAKES, Math.max(MIN_HANDSHAKES, part));
}
