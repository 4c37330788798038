/** Builds the gossip of each message and takes in that of others. */

import type { Clock, Emitter, Logger, RandomSource } from "@rattanvane/base";
import {
  formatPool,
  type Gossip,
  type MessageSender,
  type PoolTerm,
  type VmContact,
  type VmId,
  VmState,
  type VmUpdate,
} from "@rattanvane/protocol";
import { writeChange } from "./change_log.ts";
import type { GossipExchange } from "./gossip_exchange.ts";
import {
  computeTransmissionLimit,
  RetransmitQueue,
} from "./retransmit_queue.ts";
import type { SeedList } from "./seed_list.ts";
import type { SelfState } from "./self_state.ts";
import type { MembershipSettings } from "./settings.ts";
import { TokenBucket } from "./token_bucket.ts";
import { isListed, type VmRecord, type VmTable } from "./vm_table.ts";
import { type MembershipChange, MembershipChangeKind } from "./zone_view.ts";

const MAXIMUM_UPDATES = 10;
const MAXIMUM_TERMS = 4;
const MAXIMUM_SUSPECTS = 4;

/** The part of the suspicion that must have passed here before a death. */
const CONVINCING_SUSPICION = 0.3;

/** How many VMs of the own zone a message names to another zone. */
const CONTACT_HINTS = 1;

/** Bounds the news that a VM sends, however much of it there is. */
const BURST_UPDATES = 2_000;
const UPDATES_PER_SECOND = 40;

/** What a message says of its sender and its recipient, beside the news. */
const MAXIMUM_ADDRESSED_UPDATES = 2;

/** Bounds the reply to a VM that is new here and needs to hear everything. */
const MAXIMUM_WHOLE_UPDATES = 128;
const MAXIMUM_WHOLE_TERMS = 128;

/** How much a message's gossip holds. */
export enum GossipExtent {
  /** The next news in turn. */
  Regular = "regular",
  /**
   * The next news of VMs, not counted as a transmission. Messages out of turn
   * mostly meet VMs that have the news already, or none at all.
   */
  Extra = "extra",
  /** Everything, for a VM that is new here. */
  Whole = "whole",
}

/** What gossip is built from and goes to. */
export interface GossipSpreadOptions {
  self: SelfState;
  table: VmTable;
  seeds: SeedList;
  exchange: GossipExchange;
  sender: MessageSender;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  settings: MembershipSettings;
  changes: Emitter<MembershipChange>;
  /** News that should not wait for the next probe. */
  urgent: Emitter<void>;
  /** VMs that others hold dead although they seem live here. */
  doubts: Emitter<VmContact>;
}

/** Keeps the news that is to be passed on. */
export class GossipSpread {
  readonly #options: GossipSpreadOptions;
  readonly #budget: TokenBucket;
  readonly #updates = new RetransmitQueue<VmUpdate>();
  readonly #terms = new RetransmitQueue<PoolTerm>();

  constructor(options: GossipSpreadOptions) {
    this.#options = options;
    this.#budget = new TokenBucket({
      clock: options.clock,
      burst: BURST_UPDATES,
      perSecond: UPDATES_PER_SECOND,
    });
  }

  /** Builds what a message to this VM carries. */
  build(recipient: VmContact, extent: GossipExtent): Gossip {
    const local = this.#options.exchange.collectLocal();
    return {
      updates: this.#collectUpdates(recipient, extent),
      suspects: local.suspects.slice(0, MAXIMUM_SUSPECTS),
      terms: this.#collectTerms(extent).slice(0, MAXIMUM_WHOLE_TERMS),
      configurationVersion: local.configurationVersion,
    };
  }

  /** Takes in what a message carried. */
  receive(from: VmId, gossip: Gossip): void {
    const passOn = !isWhole(gossip);
    for (const update of gossip.updates) {
      this.#receiveUpdate(update, passOn);
    }
    const { exchange } = this.#options;
    const own = exchange.collectLocal().configurationVersion;
    if (gossip.configurationVersion > own) {
      exchange.learnVersion(from, gossip.configurationVersion);
    }
    if (gossip.suspects.length > 0) {
      exchange.learnSuspects(from, gossip.suspects);
    }
    for (const term of gossip.terms) {
      if (exchange.learnTerm(from, term) && passOn) {
        this.addTerm(term);
      }
    }
  }

  /** Passes a term on. */
  addTerm(term: PoolTerm): void {
    this.#terms.add(formatPool(term.pool), term);
  }

  /** Tells the zone at once what this VM says of itself. */
  addSelf(): void {
    const update = this.#options.self.toUpdate();
    this.#updates.add(update.contact.vm, update);
    this.#options.urgent.emit();
  }

  /** Takes an update into the table, and passes it on if it was news. */
  apply(update: VmUpdate, passOn = true): void {
    const { table, clock, sender, self, changes } = this.#options;
    const change = table.apply(update, clock.now());
    if (change === undefined) {
      return;
    }
    sender.learnContact(update.contact);
    const isSpread = passOn && update.contact.zone === self.contact.zone;
    if (isSpread) {
      this.#updates.add(update.contact.vm, update);
    }
    writeChange(this.#options.logger, { change, update });
    changes.emit({
      kind: change,
      contact: update.contact,
      incarnation: update.incarnation,
    });
    if (isSpread && isUrgent(change)) {
      this.#options.urgent.emit();
    }
  }

  #receiveUpdate(update: VmUpdate, passOn: boolean): void {
    const { self, table, seeds, clock, settings, doubts } = this.#options;
    if (update.contact.vm === self.contact.vm) {
      if (self.refute(update)) {
        this.addSelf();
      }
      return;
    }
    const known = table.find(update.contact.vm);
    if (update.contact.zone !== self.contact.zone && known === undefined) {
      seeds.add(update.contact, clock.now() + settings.forgetMilliseconds);
      return;
    }
    if (!this.#isContradicted(update, known)) {
      this.apply(update, passOn);
      return;
    }
    this.apply({ ...update, state: VmState.Suspect }, passOn);
    doubts.emit(update.contact);
  }

  /**
   * Whether others hold a VM dead that was not long suspected here. That
   * happens when a cut heals and the two sides compare notes, or when they
   * missed that the VM refuted; it is asked itself before it is given up.
   */
  #isContradicted(update: VmUpdate, known: VmRecord | undefined): boolean {
    if (update.state !== VmState.Dead || known === undefined) {
      return false;
    }
    const { clock, settings } = this.#options;
    const age = clock.now() - known.changedAt;
    return known.state === VmState.Live ||
      known.state === VmState.Suspect &&
        age < settings.suspicionMilliseconds * CONVINCING_SUSPICION;
  }

  #collectUpdates(recipient: VmContact, extent: GossipExtent): VmUpdate[] {
    const { self, table, random } = this.#options;
    const addressed = this.#collectAddressed(table.find(recipient.vm));
    const inOwnZone = recipient.zone === self.contact.zone;
    if (inOwnZone && extent !== GossipExtent.Whole) {
      return mergeUpdates(addressed, this.#collectNews(extent));
    }
    const live = table.listZone(self.contact.zone)
      .filter((known) => isListed(known.state));
    const count = inOwnZone ? MAXIMUM_WHOLE_UPDATES : CONTACT_HINTS;
    const chosen = random.shuffle(live).slice(0, count).map(toUpdate);
    return mergeUpdates(addressed, chosen);
  }

  #collectTerms(extent: GossipExtent): readonly PoolTerm[] {
    switch (extent) {
      case GossipExtent.Regular:
        return this.#terms.take(MAXIMUM_TERMS, this.#transmissionLimit());
      case GossipExtent.Extra:
        return [];
      case GossipExtent.Whole:
        return this.#options.exchange.listTerms();
    }
  }

  #collectNews(extent: GossipExtent): VmUpdate[] {
    const wanted = Math.min(MAXIMUM_UPDATES, this.#updates.size);
    const count = this.#budget.take(wanted);
    return extent === GossipExtent.Extra
      ? this.#updates.peek(count)
      : this.#updates.take(count, this.#transmissionLimit());
  }

  /** What the recipient itself must hear: of this VM, and of doubts in it. */
  #collectAddressed(record: VmRecord | undefined): VmUpdate[] {
    const updates: VmUpdate[] = [];
    const { self } = this.#options;
    if (record?.confirmedIncarnation !== self.incarnation) {
      updates.push(self.toUpdate());
    }
    if (record === undefined) {
      return updates;
    }
    record.toldIncarnation = self.incarnation;
    if (record.state !== VmState.Live) {
      updates.push(toUpdate(record));
    }
    return updates;
  }

  #transmissionLimit(): number {
    const { self, table } = this.#options;
    return computeTransmissionLimit(
      table.listZone(self.contact.zone).length + 1,
    );
  }
}

/** Whether a message told everything, most of it known to all others. */
function isWhole(gossip: Gossip): boolean {
  return gossip.terms.length > MAXIMUM_TERMS ||
    gossip.updates.length > MAXIMUM_UPDATES + MAXIMUM_ADDRESSED_UPDATES;
}

/**
 * Whether news should not wait for the next probe. Suspicions are urgent since
 * a death is taken at once only where the suspicion was heard before.
 */
function isUrgent(change: MembershipChangeKind): boolean {
  return change !== MembershipChangeKind.Renewed;
}

function toUpdate(record: VmRecord): VmUpdate {
  return {
    contact: record.contact,
    state: record.state,
    incarnation: record.incarnation,
  };
}

/** Joins two lists; the first list's word on a VM holds. */
function mergeUpdates(
  first: readonly VmUpdate[],
  second: readonly VmUpdate[],
): VmUpdate[] {
  const vms = new Set(first.map((update) => update.contact.vm));
  return [
    ...first,
    ...second.filter((update) => !vms.has(update.contact.vm)),
  ];
}
