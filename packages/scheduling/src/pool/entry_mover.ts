/** Moves waiting entries to pools with idle slots. */

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
import type { AttemptLifecycle } from "./attempt_lifecycle.ts";
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

/** An entry that was sent to a sibling and is not acknowledged yet. */
interface MovingEntry {
  waiting: WaitingEntry;
  sentAt: number;
}

/** Offers free slots and fills offered ones; no entry is lost in transit. */
export class EntryMover {
  readonly #state: PoolState;
  readonly #siblings: Siblings;
  readonly #guard: SuspectGuard;
  readonly #lifecycle: AttemptLifecycle;
  readonly #moving = new Map<RequestId, MovingEntry>();

  constructor(
    state: PoolState,
    parts: { siblings: Siblings; guard: SuspectGuard; ends: AttemptLifecycle },
  ) {
    this.#state = state;
    this.#siblings = parts.siblings;
    this.#guard = parts.guard;
    this.#lifecycle = parts.ends;
  }

  /** The number of entries sent to siblings and not acknowledged yet. */
  get moving(): number {
    return this.#moving.size;
  }

  /** Stops tracking an entry in transit; returns whether it was tracked. */
  remove(request: RequestId): boolean {
    return this.#moving.delete(request);
  }

  /** Offers idle slots and some prefetch to siblings that have a backlog. */
  offerFreeSlots(): void {
    const { endpoints, queue, options, now } = this.#state;
    const backloggedSiblings = this.#siblings.list().filter((sibling) =>
      sibling.waiting > 0 &&
      now - sibling.lastOfferSentAt >=
        options.settings.offerIntervalMilliseconds
    );
    if (backloggedSiblings.length === 0) {
      return;
    }
    const freeSlots = Math.max(0, endpoints.sumFreeSlots() - queue.size);
    const prefetch = Math.max(0, this.#computePrefetchTarget() - queue.size);
    if (freeSlots + prefetch === 0) {
      return;
    }
    for (const sibling of backloggedSiblings) {
      sibling.lastOfferSentAt = now;
      options.sender.send(sibling.vm, {
        kind: MessageKind.Offer,
        pool: options.pool,
        freeSlots: Math.ceil(freeSlots / backloggedSiblings.length),
        prefetch: Math.ceil(prefetch / backloggedSiblings.length),
      });
    }
  }

  /** Records an offer and fills it with waiting entries. */
  applyOffer(from: VmId, message: OfferMessage): void {
    const { now } = this.#state;
    this.#siblings.recordOffer(from, { message, now });
    this.fillOffers();
  }

  /** Moves entries that cannot be granted here to recently offered slots. */
  fillOffers(): void {
    const { queue, now, options } = this.#state;
    const oldestValidAt = now - options.settings.offerIntervalMilliseconds * 2;
    for (const sibling of this.#siblings.list()) {
      if (queue.size === 0 || sibling.offeredAt < oldestValidAt) {
        continue;
      }
      const slotCount = Math.min(sibling.offeredSlots, queue.size);
      const surplus = queue.size - slotCount - this.#computePrefetchTarget() -
        this.#sumPossiblyIdleSlots(sibling);
      const prefetch = Math.max(0, Math.min(sibling.offeredPrefetch, surplus));
      sibling.offeredSlots = 0;
      sibling.offeredPrefetch = 0;
      this.#sendEntries(sibling, slotCount + prefetch);
    }
  }

  /**
   * Moves entries without an offer in two cases: this pool cannot serve them,
   * or a sibling serves organisations that are ahead of those waiting here.
   */
  rebalance(): void {
    const { queue, endpoints, options } = this.#state;
    const { settings } = options;
    if (queue.size === 0 || endpoints.hasFreeSlots()) {
      return;
    }
    const hasNoSlots = endpoints.sumSlots() === 0;
    const target = this.#findRebalanceTarget(hasNoSlots);
    if (target !== undefined) {
      const prefetch = Math.ceil(target.slots * settings.prefetchShare);
      const count = hasNoSlots ? settings.moveBatchSize : prefetch;
      this.#sendEntries(target, Math.min(count, settings.moveBatchSize));
    }
  }

  /** Queues entries received from a sibling, or returns them if it cannot. */
  applyMove(from: VmId, message: MoveEntriesMessage): void {
    const { sender, pool } = this.#state.options;
    for (const contact of message.contacts) {
      sender.registerContact(contact);
    }
    const canServe = this.#state.endpoints.sumSlots() > 0;
    const taken: RequestId[] = [];
    const returned: RequestId[] = [];
    for (const entry of message.entries) {
      if (canServe) {
        this.#addEntry(entry, message);
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

  /** Notifies ingresses of moved entries, and requeues the returned ones. */
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
      this.#requeue(request);
    }
  }

  /** Requeues entries whose move was not acknowledged in time. */
  requeueExpired(): void {
    const { moveTimeoutMilliseconds } = this.#state.options.settings;
    for (const [request, moving] of this.#moving) {
      if (this.#state.now - moving.sentAt >= moveTimeoutMilliseconds) {
        this.#requeue(request);
      }
    }
  }

  /** Returns how many entries should wait here to fill freed slots at once. */
  #computePrefetchTarget(): number {
    const { prefetchShare } = this.#state.options.settings;
    return Math.ceil(this.#state.endpoints.sumSlots() * prefetchShare);
  }

  /**
   * Sums the slots of other siblings that may be idle; the offers of these
   * slots take precedence over prefetch.
   */
  #sumPossiblyIdleSlots(except: Sibling): number {
    let sum = 0;
    for (const sibling of this.#siblings.list()) {
      const mayBeIdle = sibling !== except && sibling.waiting === 0;
      sum += mayBeIdle ? sibling.slots : 0;
    }
    return sum;
  }

  #findRebalanceTarget(hasNoSlots: boolean): Sibling | undefined {
    const { settings } = this.#state.options;
    const { now } = this.#state;
    const { virtualTime } = this.#state.queue.fair;
    let best: Sibling | undefined;
    for (const sibling of this.#siblings.list()) {
      const elapsed = now - (sibling.lastReceivedAt ?? -Infinity);
      if (
        sibling.slots === 0 || elapsed > settings.siblingTimeoutMilliseconds
      ) {
        continue;
      }
      const lead = sibling.virtualTime - virtualTime;
      const isAhead = sibling.waiting > 0 && lead > settings.rebalanceThreshold;
      const isBetter = best === undefined || sibling.waiting < best.waiting;
      if ((hasNoSlots || isAhead) && isBetter) {
        best = sibling;
      }
    }
    return best;
  }

  /** Sends entries to a sibling, those with the lowest counters first. */
  #sendEntries(sibling: Sibling, count: number): void {
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
      const virtual = queue.fair.findCounter(organisation);
      counters.set(organisation, { organisation, virtual });
      this.#moving.set(request, { waiting, sentAt: now });
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

  /** Collects ingress addresses, since the receiver may not know them. */
  #collectContacts(picked: readonly WaitingEntry[]): VmContact[] {
    const vms = new Set(picked.map(({ entry }) => entry.ingress));
    return [...vms].flatMap((vm) => this.#state.options.findContact(vm) ?? []);
  }

  #addEntry(entry: QueueEntry, message: MoveEntriesMessage): void {
    const { queue, attempts, now } = this.#state;
    const grant = attempts.findByRequest(entry.request);
    if (
      grant !== undefined && this.#handleDuplicate(grant, { entry, message })
    ) {
      return;
    }
    const counter = message.counters.find(({ organisation }) =>
      organisation === entry.organisation
    );
    queue.add(entry, {
      now,
      movedFrom: message.from,
      ...(counter === undefined ? {} : { virtualAtSource: counter.virtual }),
    });
  }

  /**
   * Handles an entry that arrives again, for example because an acknowledgement
   * was lost; returns whether its attempt is kept. The request is most
   * probably running. The grant is resent, which an ingress ignores for a
   * request that it runs. For an attempt taken over, the entry is kept, so that
   * it can be queued again if the attempt turns out to be missing.
   */
  #handleDuplicate(
    grant: RunningGrant,
    duplicate: { entry: QueueEntry; message: MoveEntriesMessage },
  ): boolean {
    if (grant.message !== undefined) {
      return this.#lifecycle.resendGrant(grant);
    }
    const { now } = this.#state;
    const movedFrom = duplicate.message.from;
    grant.waiting ??= createWaitingEntry(duplicate.entry, { now, movedFrom });
    return true;
  }

  #requeue(request: RequestId): void {
    const moving = this.#moving.get(request);
    if (moving === undefined) {
      return;
    }
    this.#moving.delete(request);
    const { now, queue } = this.#state;
    queue.add(convertToQueueEntry(moving.waiting, now), { now });
  }
}
