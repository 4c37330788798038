/** Builds the gossip of outgoing messages and applies that of received ones. */

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
import { isAvailable, type VmRecord, type VmTable } from "./vm_table.ts";
import { type MembershipChange, MembershipChangeKind } from "./zone_view.ts";

/** Limits of queued updates, queued terms and suspects in one message. */
const MAXIMUM_UPDATES = 10;
const MAXIMUM_TERMS = 4;
const MAXIMUM_SUSPECTS = 4;

/**
 * Fraction of the suspicion time for which this VM must have suspected another
 * before it accepts a report of that VM's death.
 */
const MINIMUM_SUSPICION_FRACTION = 0.3;

/** Number of VMs of this VM's zone that a message to another zone lists. */
const CROSS_ZONE_UPDATES = 1;

/**
 * Limit the rate of queued updates that this VM sends, regardless of how many
 * are queued.
 */
const UPDATES_BURST = 2_000;
const UPDATES_PER_SECOND = 40;

/**
 * Updates about the sender and the recipient that a message holds besides
 * queued ones.
 */
const MAXIMUM_RECIPIENT_UPDATES = 2;

/** Limit the reply to a VM that is new to this VM and needs the full state. */
const MAXIMUM_WHOLE_UPDATES = 128;
const MAXIMUM_WHOLE_TERMS = 128;

/** Deaths of this time are sent to a VM whose view of the zone differs. */
const RECENT_DEATH_MILLISECONDS = 60_000;

/** How much of the known state a message's gossip holds. */
export enum GossipExtent {
  /** The next queued updates and terms. */
  Regular = "regular",
  /**
   * The next queued updates, without terms and without counting a
   * transmission: messages outside the regular schedule mostly go to VMs that
   * already have the updates or do not exist.
   */
  Extra = "extra",
  /** The full state, for a VM that is new to this VM. */
  Whole = "whole",
  /** The VMs of the zone, those included that died lately. */
  Zone = "zone",
}

/** Dependencies and settings of a {@link GossipDisseminator}. */
export interface GossipDisseminatorOptions {
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
  /** Emits when queued updates should not wait for the next probe. */
  urgent: Emitter<void>;
  /**
   * Emits VMs that others report dead but that this VM knows as live or has
   * suspected only recently.
   */
  disputedDeaths: Emitter<VmContact>;
}

/** Queues updates and terms for dissemination and applies received gossip. */
export class GossipDisseminator {
  readonly #options: GossipDisseminatorOptions;
  readonly #updateBudget: TokenBucket;
  readonly #updates = new RetransmitQueue<VmUpdate>();
  readonly #terms = new RetransmitQueue<PoolTerm>();

  constructor(options: GossipDisseminatorOptions) {
    this.#options = options;
    this.#updateBudget = new TokenBucket({
      clock: options.clock,
      burst: UPDATES_BURST,
      perSecond: UPDATES_PER_SECOND,
    });
  }

  /** Builds the gossip of a message to this recipient. */
  build(recipient: VmContact, extent: GossipExtent): Gossip {
    const local = this.#options.exchange.collectLocal();
    return {
      updates: this.#collectUpdates(recipient, extent),
      suspects: local.suspects.slice(0, MAXIMUM_SUSPECTS),
      terms: this.#collectTerms(extent).slice(0, MAXIMUM_WHOLE_TERMS),
      configurationVersion: local.configurationVersion,
    };
  }

  /** Applies the gossip of a received message. */
  receive(from: VmId, gossip: Gossip): void {
    const retransmit = !isWhole(gossip);
    for (const update of gossip.updates) {
      this.#receiveUpdate(update, retransmit);
    }
    const { exchange } = this.#options;
    const own = exchange.collectLocal().configurationVersion;
    if (gossip.configurationVersion > own) {
      exchange.receiveVersion(from, gossip.configurationVersion);
    }
    if (gossip.suspects.length > 0) {
      exchange.receiveSuspects(from, gossip.suspects);
    }
    for (const term of gossip.terms) {
      if (exchange.receiveTerm(from, term) && retransmit) {
        this.addTerm(term);
      }
    }
  }

  /** Queues a term for transmission. */
  addTerm(term: PoolTerm): void {
    this.#terms.add(formatPool(term.pool), term);
  }

  /** Queues this VM's own state and requests its immediate dissemination. */
  announceSelf(): void {
    const update = this.#options.self.toUpdate();
    this.#updates.add(update.contact.vm, update);
    this.#options.urgent.emit();
  }

  /**
   * Applies an update to the table. If it changed the known state, the change
   * is logged and emitted; an update about this VM's zone is also queued for
   * retransmission unless `retransmit` is false.
   */
  apply(update: VmUpdate, retransmit = true): void {
    const { table, clock, sender, self, changes } = this.#options;
    const change = table.apply(update, clock.now());
    if (change === undefined) {
      return;
    }
    sender.registerContact(update.contact);
    const isRetransmitted = retransmit &&
      update.contact.zone === self.contact.zone;
    if (isRetransmitted) {
      this.#updates.add(update.contact.vm, update);
    }
    writeChange(this.#options.logger, { change, update });
    changes.emit({
      kind: change,
      contact: update.contact,
      incarnation: update.incarnation,
    });
    if (isRetransmitted && isUrgent(change)) {
      this.#options.urgent.emit();
    }
  }

  #receiveUpdate(update: VmUpdate, retransmit: boolean): void {
    const { self, table, seeds, clock, settings, disputedDeaths } =
      this.#options;
    if (update.contact.vm === self.contact.vm) {
      if (self.refute(update)) {
        this.announceSelf();
      }
      return;
    }
    const known = table.find(update.contact.vm);
    if (update.contact.zone !== self.contact.zone && known === undefined) {
      seeds.add(
        update.contact,
        clock.now() + settings.deadRetentionMilliseconds,
      );
      return;
    }
    if (!this.#isDisputedDeath(update, known)) {
      this.apply(update, retransmit);
      return;
    }
    this.apply({ ...update, state: VmState.Suspect }, retransmit);
    disputedDeaths.emit(update.contact);
  }

  /**
   * Whether others report a VM dead that this VM has not suspected for long
   * enough. This happens when a network partition heals and both sides exchange
   * their states, or when the others missed a refutation. The VM is probed
   * directly before it is declared dead.
   */
  #isDisputedDeath(update: VmUpdate, known: VmRecord | undefined): boolean {
    if (update.state !== VmState.Dead || known === undefined) {
      return false;
    }
    const { clock, settings } = this.#options;
    const age = clock.now() - known.changedAt;
    return known.state === VmState.Live ||
      known.state === VmState.Suspect &&
        age < settings.suspicionMilliseconds * MINIMUM_SUSPICION_FRACTION;
  }

  #collectUpdates(recipient: VmContact, extent: GossipExtent): VmUpdate[] {
    const { self, table, random } = this.#options;
    const targeted = this.#collectForRecipient(table.find(recipient.vm));
    const inOwnZone = recipient.zone === self.contact.zone;
    if (extent === GossipExtent.Zone) {
      return mergeUpdates(targeted, this.#collectZone());
    }
    if (inOwnZone && extent !== GossipExtent.Whole) {
      return mergeUpdates(targeted, this.#collectQueued(extent));
    }
    const live = table.listZone(self.contact.zone)
      .filter((known) => isAvailable(known.state));
    const count = inOwnZone ? MAXIMUM_WHOLE_UPDATES : CROSS_ZONE_UPDATES;
    const chosen = random.shuffle(live).slice(0, count).map(toUpdate);
    return mergeUpdates(targeted, chosen);
  }

  #collectZone(): VmUpdate[] {
    const { self, table, clock } = this.#options;
    const earliest = clock.now() - RECENT_DEATH_MILLISECONDS;
    return table.listZone(self.contact.zone)
      .filter(({ state, changedAt }) =>
        state !== VmState.Dead || changedAt >= earliest
      )
      .map(toUpdate);
  }

  #collectTerms(extent: GossipExtent): readonly PoolTerm[] {
    switch (extent) {
      case GossipExtent.Regular:
        return this.#terms.take(MAXIMUM_TERMS, this.#transmissionLimit());
      case GossipExtent.Extra:
      case GossipExtent.Zone:
        return [];
      case GossipExtent.Whole:
        return this.#options.exchange.listTerms();
    }
  }

  #collectQueued(extent: GossipExtent): VmUpdate[] {
    const requested = Math.min(MAXIMUM_UPDATES, this.#updates.size);
    const count = this.#updateBudget.take(requested);
    return extent === GossipExtent.Extra
      ? this.#updates.peek(count)
      : this.#updates.take(count, this.#transmissionLimit());
  }

  /**
   * Collects updates meant for the recipient itself: this VM's own state,
   * unless the recipient has acknowledged it, and the recipient's state if it
   * is other than live, so that the recipient can refute it.
   */
  #collectForRecipient(record: VmRecord | undefined): VmUpdate[] {
    const updates: VmUpdate[] = [];
    const { self } = this.#options;
    if (record?.acknowledgedIncarnation !== self.incarnation) {
      updates.push(self.toUpdate());
    }
    if (record === undefined) {
      return updates;
    }
    record.sentIncarnation = self.incarnation;
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

/**
 * Whether a message holds the full state, most of which all other VMs already
 * have, so that it need not be retransmitted.
 */
function isWhole(gossip: Gossip): boolean {
  return gossip.terms.length > MAXIMUM_TERMS ||
    gossip.updates.length > MAXIMUM_UPDATES + MAXIMUM_RECIPIENT_UPDATES;
}

/**
 * Whether a change should not wait for the next probe. Suspicions are urgent
 * because a VM accepts a report of a death at once only if it has received the
 * suspicion before.
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

/** Merges two lists; for a VM in both, the first list takes precedence. */
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
