/** Failure detection and gossip of a single VM. */

import { createHash } from "node:crypto";
import {
  type Clock,
  Emitter,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import {
  type Gossip,
  type MembershipMessage,
  MessageKind,
  type MessageSender,
  type PoolTerm,
  type ProbeMessage,
  type ProbeReplyMessage,
  type VmContact,
  type VmId,
  VmState,
  type ZoneId,
} from "@rattanvane/protocol";
import { PendingProbes } from "./pending_probes.ts";
import type { GossipExchange } from "./gossip_exchange.ts";
import { GossipDisseminator, GossipExtent } from "./gossip_disseminator.ts";
import { Prober, UNTRACKED_SEQUENCE } from "./prober.ts";
import { ProbeTargetSelector } from "./probe_target_selector.ts";
import { SeedList } from "./seed_list.ts";
import { SelfState } from "./self_state.ts";
import type { MembershipSettings } from "./settings.ts";
import { TokenBucket } from "./token_bucket.ts";
import { UrgentDisseminator } from "./urgent_disseminator.ts";
import { isAnswering, isAvailable, VmTable } from "./vm_table.ts";
import {
  type MembershipChange,
  MembershipChangeKind,
  ZoneView,
} from "./zone_view.ts";

/** Dependencies and settings of {@link Membership}. */
export interface MembershipOptions {
  self: VmContact;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: MembershipSettings;
  gossip: GossipExchange;
}

const DIGEST_CHARACTERS = 12;
/** Limit the probes that follow a suspicion. */
const EXPEDITED_PROBES_BURST = 16;
const EXPEDITED_PROBES_PER_SECOND = 4;

/** Number of probes sent immediately at the start, before any VM is known. */
const INITIAL_PROBE_COUNT = 3;

/**
 * Detects which VMs of the zone are live by probing them, disseminates the
 * results by gossip, and keeps contacts in other zones.
 */
export class Membership extends ZoneView {
  override readonly changes = new Emitter<MembershipChange>();
  readonly #options: MembershipOptions;
  readonly #self: SelfState;
  readonly #table = new VmTable();
  readonly #seeds: SeedList;
  readonly #pending: PendingProbes;
  readonly #gossip: GossipDisseminator;
  readonly #prober: Prober;
  readonly #urgent = new Emitter<void>();
  readonly #disputedDeaths = new Emitter<VmContact>();
  readonly #targets: ProbeTargetSelector;
  readonly #expeditedProbes: TokenBucket;
  #isRunning = false;
  #zoneDigest: string | undefined;

  constructor(options: MembershipOptions) {
    super();
    const { self, clock, settings } = options;
    this.#options = options;
    this.#self = new SelfState(self, clock.wallTime());
    this.#expeditedProbes = new TokenBucket({
      clock,
      burst: EXPEDITED_PROBES_BURST,
      perSecond: EXPEDITED_PROBES_PER_SECOND,
    });
    this.#seeds = new SeedList(self.vm);
    this.#pending = new PendingProbes(clock);
    this.#targets = new ProbeTargetSelector({
      ...options,
      table: this.#table,
      seeds: this.#seeds,
    });
    this.#gossip = new GossipDisseminator({
      ...options,
      self: this.#self,
      table: this.#table,
      seeds: this.#seeds,
      exchange: options.gossip,
      changes: this.changes,
      urgent: this.#urgent,
      disputedDeaths: this.#disputedDeaths,
    });
    this.#prober = new Prober({
      ...options,
      table: this.#table,
      pending: this.#pending,
      gossip: this.#gossip,
    });
    for (const peer of settings.peers) {
      this.#seeds.addPermanent(peer);
    }
  }

  /**
   * Adds VMs to probe, such as those on the platform's list; call this again
   * with each newer list. A VM counts as live only once it has answered, and a
   * VM that answers stays live whether or not it is listed.
   */
  addSeeds(contacts: readonly VmContact[]): void {
    const { clock, settings } = this.#options;
    const expiresAt = clock.now() + settings.deadRetentionMilliseconds;
    for (const contact of contacts) {
      this.#seeds.add(contact, expiresAt);
    }
    if (this.#isRunning) {
      this.#probeUnknownZones();
    }
  }

  /**
   * Probes a VM of this VM's zone at once, because it is silent where messages
   * of it are expected.
   */
  checkSilentVm(vm: VmId): void {
    const record = this.#table.find(vm);
    const isChecked = record !== undefined && isAnswering(record.state) &&
      record.contact.zone === this.#self.contact.zone;
    if (isChecked && this.#isRunning) {
      void this.#prober.probe(record.contact);
    }
  }

  /**
   * A digest of the live VMs of this VM's zone; equal for VMs with the same view.
   */
  get zoneDigest(): string {
    this.#zoneDigest ??= createHash("sha256")
      .update(
        this.listLive(this.#self.contact.zone).map(({ vm }) => vm).sort()
          .join("\n"),
      )
      .digest("base64")
      .slice(0, DIGEST_CHARACTERS);
    return this.#zoneDigest;
  }

  /** Sends a VM of this VM's zone all that is known of the zone. */
  sendZone(vm: VmId): void {
    const contact = this.#table.find(vm)?.contact;
    if (contact !== undefined) {
      this.#prober.sendZone(contact);
    }
  }

  /**
   * Probes further VMs at once when one is suspected: failures of one moment
   * often have one cause, as in scrubbing that is expedited after a disk
   * failure. The rate is limited, so that an overloaded zone is not loaded more.
   */
  #probeAfterSuspicion(): void {
    if (this.#expeditedProbes.take(1) > 0) {
      this.#probeNext();
    }
  }

  /** Runs failure detection and dissemination until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#isRunning = true;
    const urgent = new UrgentDisseminator({
      ...this.#options,
      send: () => this.#probeRandom(),
    });
    this.#urgent.listen(() => urgent.request(), signal);
    this.changes.listen(({ kind }) => {
      this.#zoneDigest = undefined;
      if (kind === MembershipChangeKind.Suspected) {
        this.#probeAfterSuspicion();
      }
    }, signal);
    this.#disputedDeaths.listen(
      (vm) => void this.#prober.confirmDeath(vm),
      signal,
    );
    signal.addEventListener("abort", () => this.#pending.removeAll(), {
      once: true,
    });
    for (let count = 0; count < INITIAL_PROBE_COUNT; count++) {
      this.#probeMissing();
    }
    await Promise.all([
      this.#runZoneProbes(signal),
      this.#runSlowProbes(signal),
      urgent.run(signal),
    ]);
    this.#isRunning = false;
  }

  /**
   * Handles a message from another VM; replies if its kind calls for a reply.
   */
  handle(from: VmId, message: MembershipMessage): void {
    switch (message.kind) {
      case MessageKind.Probe:
        if (message.from.vm === from) {
          this.#handleProbe(message);
        }
        return;
      case MessageKind.ProbeReply:
        this.#handleReply(from, message);
        return;
      case MessageKind.IndirectProbe:
        if (this.#isRunning) {
          void this.#prober.probeOnBehalf(message);
        }
        return;
      case MessageKind.IndirectProbeReply:
        this.#pending.acknowledge(message.sequence, message.target);
    }
  }

  override listLive(zone: ZoneId): VmContact[] {
    const live = this.#table.listZone(zone)
      .filter((record) => isAvailable(record.state))
      .map((record) => record.contact);
    if (zone === this.#self.contact.zone && !this.#self.leaving) {
      live.push(this.#self.contact);
    }
    return live;
  }

  override listAnswering(zone: ZoneId): VmContact[] {
    const answering = this.#table.listZone(zone)
      .filter((record) => isAnswering(record.state))
      .map((record) => record.contact);
    if (zone === this.#self.contact.zone) {
      answering.push(this.#self.contact);
    }
    return answering;
  }

  override findContact(vm: VmId): VmContact | undefined {
    if (vm === this.#self.contact.vm) {
      return this.#self.contact;
    }
    return this.#table.find(vm)?.contact ?? this.#seeds.find(vm);
  }

  /** Disseminates a term by gossip, with a limited number of transmissions. */
  announceTerm(term: PoolTerm): void {
    this.#gossip.addTerm(term);
  }

  /**
   * Announces to the zone that this VM is leaving; it continues to answer
   * probes.
   */
  announceLeave(): void {
    if (!this.#self.leaving) {
      this.#self.startLeaving();
      this.#gossip.announceSelf();
    }
  }

  #handleProbe(message: ProbeMessage): void {
    const { from } = message;
    const known = this.#table.find(from.vm);
    const wasKnown = known !== undefined && isAnswering(known.state);
    this.#receive(from, message.gossip);
    const extent = wasKnown ? pickExtent(message) : GossipExtent.Whole;
    this.#options.sender.registerContact(from);
    this.#options.sender.send(from.vm, {
      kind: MessageKind.ProbeReply,
      sequence: message.sequence,
      from: this.#self.contact.vm,
      gossip: this.#gossip.build(from, extent),
    });
  }

  #handleReply(from: VmId, message: ProbeReplyMessage): void {
    const contact = this.findContact(from);
    if (contact === undefined) {
      return;
    }
    this.#receive(contact, message.gossip);
    const record = this.#table.find(from);
    if (record !== undefined) {
      record.acknowledgedIncarnation = record.sentIncarnation;
    }
    this.#pending.acknowledge(message.sequence, from);
  }

  /**
   * Applies received gossip, after adding the sender if it is new and eligible.
   */
  #receive(from: VmContact, gossip: Gossip): void {
    if (
      this.#targets.isEligible(from) && this.#table.find(from.vm) === undefined
    ) {
      const own = gossip.updates.find(({ contact }) => contact.vm === from.vm);
      this.#gossip.apply(
        own ?? { contact: from, state: VmState.Live, incarnation: 0 },
      );
    }
    this.#gossip.receive(from.vm, gossip);
  }

  async #runZoneProbes(signal: AbortSignal): Promise<void> {
    const { clock, random, settings } = this.#options;
    const interval = settings.probePeriodMilliseconds;
    // A random initial delay keeps VMs that started together from probing in
    // lockstep.
    await clock.sleep(interval * random.nextFraction(), signal);
    while (!signal.aborted) {
      this.#probeNext();
      await clock.sleep(interval, signal);
    }
  }

  #probeNext(): void {
    const target = this.#targets.nextInZone();
    if (target === undefined) {
      this.#probeMissing();
      return;
    }
    void this.#prober.probe(target);
  }

  async #runSlowProbes(signal: AbortSignal): Promise<void> {
    const { clock, random, settings } = this.#options;
    const interval = settings.slowProbePeriodMilliseconds;
    await clock.sleep(interval * random.nextFraction(), signal);
    while (!signal.aborted) {
      this.#table.removeDead(clock.now() - settings.deadRetentionMilliseconds);
      this.#probeMissing();
      this.#probeUnknownZones();
      this.#probeNextContact();
      await clock.sleep(interval, signal);
    }
  }

  #probeNextContact(): void {
    const target = this.#targets.nextContact();
    if (target !== undefined) {
      void this.#prober.probeContact(target);
    }
  }

  #probeMissing(): void {
    const target = this.#targets.nextMissing();
    if (target !== undefined) {
      this.#prober.sendUntracked(target);
    }
  }

  /** Probes seeds at once where no VM is known, instead of one a period. */
  #probeUnknownZones(): void {
    for (const seed of this.#targets.pickSeedsOfUnknownZones()) {
      this.#prober.sendUntracked(seed);
    }
  }

  #probeRandom(): void {
    const target = this.#targets.pickRandomInZone();
    if (target !== undefined) {
      this.#prober.sendUntracked(target);
    }
  }
}

function pickExtent(message: ProbeMessage): GossipExtent {
  return message.sequence === UNTRACKED_SEQUENCE
    ? GossipExtent.Extra
    : GossipExtent.Regular;
}
