/** Moves waiting entries to where slots stand idle. */

import {
  type EntriesTakenMessage,
  MessageKind,
  type MoveEntriesMessage,
  type OfferMessage,
  type QueueEntry,
  type RequestId,
  type VirtualCounter,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import type { AttemptEnds } from "./attempt_ends.ts";
import type { RunningGrant } from "./attempt_table.ts";
import { pickEntriesToMove } from "./move_selection.ts";
import {
  convertToQueueEntry,
  createWaitingEntry,
  type WaitingEntry,
} from "./pool_queue.ts";
import type { PoolState } from "./pool_state.ts";
import type { Sibling, Siblings } from "./siblings.ts";
import type { SuspectGuard } from "./suspect_guard.ts";

interface MovingEntry {
  waiting: WaitingEntry;
  movedAt: number;
}

/** Offers free slots and answers offers; loses no entry on the way. */
export class EntryMover {
  readonly #state: PoolState;
  readonly #siblings: Siblings;
  readonly #guard: SuspectGuard;
  readonly #ends: AttemptEnds;
  readonly #moving = new Map<RequestId, MovingEntry>();

  constructor(
    state: PoolState,
    parts: { siblings: Siblings; guard: SuspectGuard; ends: AttemptEnds },
  ) {
    this.#state = state;
    this.#siblings = parts.siblings;
    this.#guard = parts.guard;
    this.#ends = parts.ends;
  }

  /** Entries that were sent away and are not confirmed yet. */
  get moving(): number {
    return this.#moving.size;
  }

  /** Forgets an entry that is on its way; returns whether it was. */
  remove(request: RequestId): boolean {
    return this.#moving.delete(request);
  }

  /** Offers idle slots, and room for a few more, where work waits. */
  offerFreeSlots(): void {
    const { endpoints, queue, options, now } = this.#state;
    const waitingElsewhere = this.#siblings.list().filter((sibling) =>
      sibling.waiting > 0 &&
      now - sibling.askedAt >= options.settings.offerIntervalMilliseconds
    );
    if (waitingElsewhere.length === 0) {
      return;
    }
    const freeSlots = Math.max(0, endpoints.sumFree() - queue.size);
    const prefetch = Math.max(0, this.#computeReserve() - queue.size);
    if (freeSlots + prefetch === 0) {
      return;
    }
    for (const sibling of waitingElsewhere) {
      sibling.askedAt = now;
      options.sender.send(sibling.vm, {
        kind: MessageKind.Offer,
        pool: options.pool,
        freeSlots: Math.ceil(freeSlots / waitingElsewhere.length),
        prefetch: Math.ceil(prefetch / waitingElsewhere.length),
      });
    }
  }

  /** Takes in an offer and uses it. */
  applyOffer(from: VmId, message: OfferMessage): void {
    const { now } = this.#state;
    this.#siblings.recordOffer(from, { message, now });
    this.useOffers();
  }

  /** Moves entries that cannot be granted here to offered slots. */
  useOffers(): void {
    const { queue, now, options } = this.#state;
    const newest = now - options.settings.offerIntervalMilliseconds * 2;
    for (const sibling of this.#siblings.list()) {
      if (queue.size === 0 || sibling.offeredAt < newest) {
        continue;
      }
      const idle = Math.min(sibling.offeredSlots, queue.size);
      const spare = queue.size - idle - this.#computeReserve() -
        this.#sumIdleSlots(sibling);
      const extra = Math.max(0, Math.min(sibling.offeredPrefetch, spare));
      sibling.offeredSlots = 0;
      sibling.offeredPrefetch = 0;
      this.#move(sibling, idle + extra);
    }
  }

  /**
   * Moves entries without an offer: from a pool that cannot serve them, and to
   * one that serves organisations which are ahead of those that wait here.
   */
  rebalance(): void {
    const { queue, endpoints, options } = this.#state;
    const { settings } = options;
    if (queue.size === 0 || endpoints.hasRoom()) {
      return;
    }
    const isClosed = endpoints.sumSlots() === 0;
    const target = this.#findTarget(isClosed);
    if (target !== undefined) {
      const share = Math.ceil(target.slots * settings.prefetchShare);
      const count = isClosed ? settings.moveBatch : share;
      this.#move(target, Math.min(count, settings.moveBatch));
    }
  }

  /** Takes entries over from a sibling. */
  applyMove(from: VmId, message: MoveEntriesMessage): void {
    const { sender, pool } = this.#state.options;
    for (const contact of message.contacts) {
      sender.learnContact(contact);
    }
    const canServe = this.#state.endpoints.sumSlots() > 0;
    const taken: RequestId[] = [];
    const returned: RequestId[] = [];
    for (const entry of message.entries) {
      if (canServe) {
        this.#takeEntry(entry, message);
        taken.push(entry.request);
      } else {
        returned.push(entry.request);
      }
    }
    sender.send(from, {
      kind: MessageKind.EntriesTaken,
      from: message.from,
      to: pool,
      taken,
      returned,
    });
  }

  /** Tells ingresses where their entries went; takes refused ones back. */
  applyTaken(from: VmId, message: EntriesTakenMessage): void {
    const { sender, pool } = this.#state.options;
    for (const request of message.taken) {
      const moving = this.#moving.get(request);
      if (moving !== undefined) {
        this.#moving.delete(request);
        sender.send(moving.waiting.entry.ingress, {
          kind: MessageKind.EntryMoved,
          request,
          from: pool,
          to: message.to,
          scheduler: from,
        });
      }
    }
    for (const request of message.returned) {
      this.#takeBack(request);
    }
  }

  /** Takes entries back whose move was not confirmed in time. */
  takeBackExpired(): void {
    const { moveTimeoutMilliseconds } = this.#state.options.settings;
    for (const [request, moving] of this.#moving) {
      if (this.#state.now - moving.movedAt >= moveTimeoutMilliseconds) {
        this.#takeBack(request);
      }
    }
  }

  /** Entries that should wait here so that a free slot is used at once. */
  #computeReserve(): number {
    const { prefetchShare } = this.#state.options.settings;
    return Math.ceil(this.#state.endpoints.sumSlots() * prefetchShare);
  }

  /** Slots of other siblings that may be idle; their offers come first. */
  #sumIdleSlots(except: Sibling): number {
    let sum = 0;
    for (const sibling of this.#siblings.list()) {
      const mayBeIdle = sibling !== except && sibling.waiting === 0;
      sum += mayBeIdle ? sibling.slots : 0;
    }
    return sum;
  }

  #findTarget(isClosed: boolean): Sibling | undefined {
    const { settings } = this.#state.options;
    const { now } = this.#state;
    const { virtualTime } = this.#state.queue.fair;
    let best: Sibling | undefined;
    for (const sibling of this.#siblings.list()) {
      const silence = now - (sibling.heardAt ?? -Infinity);
      if (
        sibling.slots === 0 || silence > settings.siblingTimeoutMilliseconds
      ) {
        continue;
      }
      const lead = sibling.virtualTime - virtualTime;
      const leads = sibling.waiting > 0 && lead > settings.rebalanceThreshold;
      const isBetter = best === undefined || sibling.waiting < best.waiting;
      if ((isClosed || leads) && isBetter) {
        best = sibling;
      }
    }
    return best;
  }

  /** Sends entries away, those of the lowest counters first. */
  #move(sibling: Sibling, count: number): void {
    const picked = pickEntriesToMove(this.#state, {
      guard: this.#guard,
      count,
    });
    if (picked.length === 0) {
      return;
    }
    const { now, queue, options } = this.#state;
    const counters = new Map<string, VirtualCounter>();
    for (const waiting of picked) {
      const { organisation, request } = waiting;
      const virtual = queue.fair.findVirtual(organisation);
      counters.set(organisation, { organisation, virtual });
      this.#moving.set(request, { waiting, movedAt: now });
    }
    options.sender.send(sibling.vm, {
      kind: MessageKind.MoveEntries,
      from: options.pool,
      to: sibling.pool,
      entries: picked.map((waiting) => convertToQueueEntry(waiting, now)),
      contacts: this.#collectContacts(picked),
      counters: [...counters.values()],
    });
    options.logger.info("moved waiting requests to another zone", {
      service: options.pool.service,
      zone: options.pool.zone,
      toZone: sibling.pool.zone,
      requests: picked.length,
    });
  }

  /** The receiver grants to ingresses of which it may never have heard. */
  #collectContacts(picked: readonly WaitingEntry[]): VmContact[] {
    const vms = new Set(picked.map(({ entry }) => entry.ingress));
    return [...vms].flatMap((vm) => this.#state.options.findContact(vm) ?? []);
  }

  #takeEntry(entry: QueueEntry, message: MoveEntriesMessage): void {
    const { queue, attempts, now } = this.#state;
    const grant = attempts.findByRequest(entry.request);
    if (grant !== undefined && this.#isHeld(grant, { entry, message })) {
      return;
    }
    const counter = message.counters.find(({ organisation }) =>
      organisation === entry.organisation
    );
    queue.add(entry, {
      now,
      movedFrom: message.from,
      ...(counter === undefined ? {} : { entitled: counter.virtual }),
    });
  }

  /**
   * An entry that comes again, as when a confirmation was lost, most probably
   * runs. An ingress ignores the repeated grant of what it runs; an attempt that
   * was taken over gets a second turn if it is missed.
   */
  #isHeld(
    grant: RunningGrant,
    again: { entry: QueueEntry; message: MoveEntriesMessage },
  ): boolean {
    if (grant.message !== undefined) {
      return this.#ends.repeatGrant(grant);
    }
    const { now } = this.#state;
    const movedFrom = again.message.from;
    grant.waiting ??= createWaitingEntry(again.entry, { now, movedFrom });
    return true;
  }

  #takeBack(request: RequestId): void {
    const moving = this.#moving.get(request);
    if (moving === undefined) {
      return;
    }
    this.#moving.delete(request);
    const { now, queue } = this.#state;
    queue.add(convertToQueueEntry(moving.waiting, now), { now });
  }
}
