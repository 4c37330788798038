/** Failure detection and gossip of one VM. */

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
import { AnswerWaits } from "./answer_waits.ts";
import type { GossipExchange } from "./gossip_exchange.ts";
import { GossipExtent, GossipSpread } from "./gossip_spread.ts";
import { Prober, UNAWAITED_SEQUENCE } from "./prober.ts";
import { ProbeTargets } from "./probe_targets.ts";
import { SeedList } from "./seed_list.ts";
import { SelfState } from "./self_state.ts";
import type { MembershipSettings } from "./settings.ts";
import { UrgentSpread } from "./urgent_spread.ts";
import { isAnswering, isListed, VmTable } from "./vm_table.ts";
import { type MembershipChange, ZoneView } from "./zone_view.ts";

/** What membership needs. */
export interface MembershipOptions {
  self: VmContact;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: MembershipSettings;
  gossip: GossipExchange;
}

/** Probes that are sent at once at the start, before any VM is known. */
const FIRST_PROBE_COUNT = 3;

/** Finds out which VMs of the zone are live, and keeps contacts elsewhere. */
export class Membership extends ZoneView {
  override readonly changes = new Emitter<MembershipChange>();
  readonly #options: MembershipOptions;
  readonly #self: SelfState;
  readonly #table = new VmTable();
  readonly #seeds: SeedList;
  readonly #waits: AnswerWaits;
  readonly #gossip: GossipSpread;
  readonly #prober: Prober;
  readonly #urgent = new Emitter<void>();
  readonly #doubts = new Emitter<VmContact>();
  readonly #targets: ProbeTargets;
  #running = false;

  constructor(options: MembershipOptions) {
    super();
    const { self, clock, settings } = options;
    this.#options = options;
    this.#self = new SelfState(self, clock.wallTime());
    this.#seeds = new SeedList(self.vm);
    this.#waits = new AnswerWaits(clock);
    this.#targets = new ProbeTargets({
      ...options,
      table: this.#table,
      seeds: this.#seeds,
    });
    this.#gossip = new GossipSpread({
      ...options,
      self: this.#self,
      table: this.#table,
      seeds: this.#seeds,
      exchange: options.gossip,
      changes: this.changes,
      urgent: this.#urgent,
      doubts: this.#doubts,
    });
    this.#prober = new Prober({
      ...options,
      table: this.#table,
      waits: this.#waits,
      gossip: this.#gossip,
    });
    for (const peer of settings.peers) {
      this.#seeds.addPermanent(peer);
    }
  }

  /**
   * Adds VMs to look for, such as the platform's list; call it again with each
   * newer list. A VM counts as live only once it has answered, and one that
   * answers stays live whether it is listed or not.
   */
  addSeeds(contacts: readonly VmContact[]): void {
    const { clock, settings } = this.#options;
    const expiresAt = clock.now() + settings.forgetMilliseconds;
    for (const contact of contacts) {
      this.#seeds.add(contact, expiresAt);
    }
  }

  /** Probes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.#running = true;
    const urgent = new UrgentSpread({
      ...this.#options,
      send: () => this.#probeAnyone(),
    });
    this.#urgent.listen(() => urgent.request(), signal);
    this.#doubts.listen((vm) => void this.#prober.probe(vm), signal);
    signal.addEventListener("abort", () => this.#waits.closeAll(), {
      once: true,
    });
    for (let count = 0; count < FIRST_PROBE_COUNT; count++) {
      this.#search();
    }
    await Promise.all([
      this.#runZoneProbes(signal),
      this.#runSlowProbes(signal),
      urgent.run(signal),
    ]);
    this.#running = false;
  }

  /** Takes a message of another VM; answers it where it asks for an answer. */
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
        if (this.#running) {
          void this.#prober.probeFor(message);
        }
        return;
      case MessageKind.IndirectProbeReply:
        this.#waits.answer(message.sequence, message.target);
    }
  }

  override listLive(zone: ZoneId): VmContact[] {
    const live = this.#table.listZone(zone)
      .filter((record) => isListed(record.state))
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

  /** Passes a term on to the fleet, a limited number of times. */
  announceTerm(term: PoolTerm): void {
    this.#gossip.addTerm(term);
  }

  /** Tells the zone that this VM leaves; it goes on answering. */
  announceLeave(): void {
    if (!this.#self.leaving) {
      this.#self.leave();
      this.#gossip.addSelf();
    }
  }

  #handleProbe(message: ProbeMessage): void {
    const { from } = message;
    const known = this.#table.find(from.vm);
    const wasKnown = known !== undefined && isAnswering(known.state);
    this.#receive(from, message.gossip);
    const extent = wasKnown ? pickExtent(message) : GossipExtent.Whole;
    this.#options.sender.learnContact(from);
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
      record.confirmedIncarnation = record.toldIncarnation;
    }
    this.#waits.answer(message.sequence, from);
  }

  /** Takes in gossip, and the sender itself if it was not known. */
  #receive(from: VmContact, gossip: Gossip): void {
    if (
      this.#targets.isWanted(from) && this.#table.find(from.vm) === undefined
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
    // VMs that started together should not probe in step.
    await clock.sleep(interval * random.nextFraction(), signal);
    while (!signal.aborted) {
      this.#probeNext();
      await clock.sleep(interval, signal);
    }
  }

  #probeNext(): void {
    const target = this.#targets.nextInZone();
    if (target === undefined) {
      this.#search();
      return;
    }
    void this.#prober.probe(target);
  }

  async #runSlowProbes(signal: AbortSignal): Promise<void> {
    const { clock, random, settings } = this.#options;
    const interval = settings.slowProbePeriodMilliseconds;
    await clock.sleep(interval * random.nextFraction(), signal);
    while (!signal.aborted) {
      this.#table.removeDead(clock.now() - settings.forgetMilliseconds);
      this.#search();
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

  #search(): void {
    const target = this.#targets.nextMissing();
    if (target !== undefined) {
      this.#prober.sendExtra(target);
    }
  }

  #probeAnyone(): void {
    const target = this.#targets.pickInZone();
    if (target !== undefined) {
      this.#prober.sendExtra(target);
    }
  }
}

function pickExtent(message: ProbeMessage): GossipExtent {
  return message.sequence === UNAWAITED_SEQUENCE
    ? GossipExtent.Extra
    : GossipExtent.Regular;
}
