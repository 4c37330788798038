/** A weighted fair queue that serves the least-served organisation first. */

import type { Clock } from "@rattanvane/base";
import type {
  OrganisationCounter,
  OrganisationId,
  VirtualCounter,
} from "@rattanvane/protocol";
import { Account, compareAccounts, type FairEntry } from "./account.ts";
import { BinaryHeap } from "./binary_heap.ts";
import type { QueuePlace } from "./linked_queue.ts";
import type { ServiceDifference } from "./remote_totals.ts";

/** A scheduler's decision on a candidate entry. */
export enum PickVerdict {
  Take = "take",
  /** Continues with the organisation's next entry. */
  Skip = "skip",
  /** Ends the search, as no entry can be placed now. */
  Stop = "stop",
}

/** Service charged to an organisation for one attempt. */
export interface Charge {
  readonly organisation: OrganisationId;
  /** Weight at the time of the grant; later changes do not affect it. */
  readonly weight: number;
  /** Cost units charged so far. */
  amount: number;
}

/** Settings of a fair queue. */
export interface FairQueueSettings {
  /** Maximum number of entries of one organisation that a pick examines. */
  lookAheadEntries: number;
  /**
   * Maximum lead of a counter over the lowest one after a network partition, in
   * cost units divided by weight.
   */
  debtCap: number;
  /** Time without waiting entries after which an organisation is idle. */
  idleGraceMilliseconds: number;
}

/** Default settings, suitable for most fleets. */
export const DEFAULT_FAIR_QUEUE_SETTINGS: FairQueueSettings = {
  lookAheadEntries: 8,
  debtCap: 20_000,
  idleGraceMilliseconds: 500,
};

interface WaitingEntry<Entry extends FairEntry> {
  account: Account<Entry>;
  place: QueuePlace<Entry>;
}

/** Returns an organisation's share relative to the others; above 0. */
export type FindWeight = (organisation: OrganisationId) => number;

/** Options for creating a fair queue. */
export interface FairQueueOptions {
  settings: FairQueueSettings;
  clock: Clock;
  findWeight: FindWeight;
}

/**
 * Serves organisations by their virtual counters (service received divided by
 * the weight), the lowest first, and each organisation's entries in order of
 * arrival.
 */
export class FairQueue<Entry extends FairEntry> {
  readonly #settings: FairQueueSettings;
  readonly #clock: Clock;
  readonly #findWeight: FindWeight;
  readonly #accounts = new Map<OrganisationId, Account<Entry>>();
  readonly #backloggedAccounts = new BinaryHeap<Account<Entry>>(
    compareAccounts,
  );
  readonly #waitingEntries = new Map<string, WaitingEntry<Entry>>();
  readonly #changedAccounts = new Set<Account<Entry>>();
  #virtualTimeFloor = 0;

  constructor(options: FairQueueOptions) {
    this.#settings = options.settings;
    this.#clock = options.clock;
    this.#findWeight = options.findWeight;
  }

  /** Number of waiting entries. */
  get size(): number {
    return this.#waitingEntries.size;
  }

  /** Number of organisations with waiting entries. */
  get backloggedOrganisations(): number {
    return this.#backloggedAccounts.size;
  }

  /**
   * The lowest counter of a backlogged organisation; while the queue is idle,
   * the value at which a new counter would start.
   */
  get virtualTime(): number {
    return this.#backloggedAccounts.first?.virtual ?? this.#virtualTimeFloor;
  }

  /** The backlogged organisation with the lowest counter. */
  get leastServedOrganisation(): OrganisationId | undefined {
    return this.#backloggedAccounts.first?.organisation;
  }

  /**
   * Adds an entry behind those of its organisation that have waited at least as
   * long; ignores a duplicate.
   *
   * The counter of an organisation that was idle is lifted to the virtual time,
   * so that idle time earns no credit, but not beyond `liftLimit`: the counter
   * up to which it was backlogged at another pool. An organisation whose
   * callers send the next request as soon as the last one was granted does not
   * count as idle in between.
   */
  add(entry: Entry, liftLimit = Infinity): void {
    if (this.#waitingEntries.has(entry.request)) {
      return;
    }
    const account = this.#findAccount(entry.organisation);
    const emptyFor = this.#clock.now() - account.emptySince;
    const wasIdle = account.waiting.size === 0 &&
      emptyFor > this.#settings.idleGraceMilliseconds;
    if (wasIdle) {
      const lift = Math.min(this.virtualTime, liftLimit);
      account.virtual = Math.max(account.virtual, lift);
    }
    const place = account.waiting.add(entry);
    this.#waitingEntries.set(entry.request, { account, place });
    this.#backloggedAccounts.add(account);
  }

  has(request: string): boolean {
    return this.#waitingEntries.has(request);
  }

  /** Finds the waiting entry of a request; undefined when it does not wait. */
  find(request: string): Entry | undefined {
    return this.#waitingEntries.get(request)?.place.item;
  }

  /** Removes and returns an entry; undefined when it does not wait. */
  remove(request: string): Entry | undefined {
    const waiting = this.#waitingEntries.get(request);
    if (waiting === undefined) {
      return undefined;
    }
    this.#waitingEntries.delete(request);
    waiting.account.waiting.remove(waiting.place);
    if (waiting.account.waiting.size === 0) {
      waiting.account.emptySince = this.#clock.now();
      this.#raiseVirtualTimeFloor(waiting.account);
      this.#backloggedAccounts.remove(waiting.account);
    }
    return waiting.place.item;
  }

  /**
   * Finds the first entry that the judge takes, trying organisations from the
   * lowest counter up. The entry stays in the queue.
   */
  pick(judge: (entry: Entry) => PickVerdict): Entry | undefined {
    const skipped: Account<Entry>[] = [];
    let picked: Entry | undefined;
    for (;;) {
      const account = this.#backloggedAccounts.first;
      if (account === undefined) {
        break;
      }
      const found = this.#pickFrom(account, judge);
      if (found !== PickVerdict.Skip) {
        picked = found === PickVerdict.Stop ? undefined : found;
        break;
      }
      this.#backloggedAccounts.remove(account);
      skipped.push(account);
    }
    for (const account of skipped) {
      this.#backloggedAccounts.add(account);
    }
    return picked;
  }

  /** Charges an attempt's estimated cost, in cost units, when it is granted. */
  charge(organisation: OrganisationId, estimate: number): Charge {
    const account = this.#findAccount(organisation);
    this.#raiseVirtualTimeFloor(account);
    const weight = this.#findWeight(organisation);
    const charge = { organisation, weight, amount: 0 };
    this.updateCharge(charge, estimate);
    return charge;
  }

  /** Creates a charge that restored counters already include. */
  restoreCharge(organisation: OrganisationId, amount: number): Charge {
    return { organisation, weight: this.#findWeight(organisation), amount };
  }

  /** Corrects a charge to the attempt's total cost so far, in cost units. */
  updateCharge(charge: Charge, amount: number): void {
    const account = this.#findAccount(charge.organisation);
    const difference = amount - charge.amount;
    if (difference === 0) {
      return;
    }
    charge.amount = amount;
    account.service += difference;
    this.#changedAccounts.add(account);
    this.#addToCounter(account, difference / charge.weight);
  }

  /** Adds service that was given by other schedulers to the counters. */
  applyRemoteService(
    differences: readonly ServiceDifference[],
    options: { capDebt: boolean },
  ): void {
    const countersBefore = new Map<Account<Entry>, number>();
    for (const { organisation, service } of differences) {
      const account = this.#findAccount(organisation);
      countersBefore.set(account, account.virtual);
      this.#addToCounter(account, service / this.#findWeight(organisation));
    }
    if (options.capDebt) {
      this.#capDebts(countersBefore);
    }
  }

  /**
   * Raises the virtual time of an idle queue to at least that of another pool's
   * queue; has no effect while entries wait.
   */
  raiseVirtualTime(virtualTime: number): void {
    if (this.#backloggedAccounts.size === 0) {
      this.#virtualTimeFloor = Math.max(this.#virtualTimeFloor, virtualTime);
    }
  }

  /**
   * Adds a constant to all counters and to the virtual time, which makes them
   * comparable with those of another queue.
   */
  shiftCounters(difference: number): void {
    this.#virtualTimeFloor += difference;
    for (const account of this.#accounts.values()) {
      account.virtual += difference;
    }
  }

  /** Restores a counter that the previous scheduler handed over. */
  restoreCounter(organisation: OrganisationId, virtual: number): void {
    const account = this.#findAccount(organisation);
    this.#addToCounter(account, Math.max(0, virtual - account.virtual));
    // The organisation was not idle: its entries are still to arrive with the
    // reports of the ingresses.
    account.emptySince = this.#clock.now();
  }

  /**
   * Lists the counters that are needed to restore the queue: those of
   * organisations that are backlogged or above the virtual time of an idle
   * queue.
   */
  listCounters(): VirtualCounter[] {
    const counters: VirtualCounter[] = [];
    for (const { organisation, virtual, waiting } of this.#accounts.values()) {
      if (waiting.size > 0 || virtual > this.#virtualTimeFloor) {
        counters.push({ organisation, virtual });
      }
    }
    return counters;
  }

  /** Number of organisations whose totals changed since the last collection. */
  get changedOrganisationCount(): number {
    return this.#changedAccounts.size;
  }

  /** Returns this queue's service totals that changed since the last call. */
  collectChangedTotals(): OrganisationCounter[] {
    const totals: OrganisationCounter[] = [];
    for (const { organisation, service } of this.#changedAccounts) {
      totals.push({ organisation, service });
    }
    this.#changedAccounts.clear();
    return totals;
  }

  /** Iterates over all waiting entries. */
  *listEntries(): Generator<Entry> {
    for (const waiting of this.#waitingEntries.values()) {
      yield waiting.place.item;
    }
  }

  /** Counts the waiting entries of an organisation. */
  countWaiting(organisation: OrganisationId): number {
    return this.#accounts.get(organisation)?.waiting.size ?? 0;
  }

  /** Returns an organisation's counter; 0 for an unknown organisation. */
  findCounter(organisation: OrganisationId): number {
    return this.#accounts.get(organisation)?.virtual ?? 0;
  }

  #pickFrom(
    account: Account<Entry>,
    judge: (entry: Entry) => PickVerdict,
  ): Entry | PickVerdict.Skip | PickVerdict.Stop {
    let examined = 0;
    for (const entry of account.waiting) {
      const verdict = judge(entry);
      if (verdict === PickVerdict.Take) {
        return entry;
      }
      examined++;
      if (verdict === PickVerdict.Stop) {
        return verdict;
      }
      if (examined >= this.#settings.lookAheadEntries) {
        break;
      }
    }
    return PickVerdict.Skip;
  }

  #findAccount(organisation: OrganisationId): Account<Entry> {
    let account = this.#accounts.get(organisation);
    if (account === undefined) {
      account = new Account<Entry>(organisation, this.#accounts.size);
      this.#accounts.set(organisation, account);
    }
    return account;
  }

  #addToCounter(account: Account<Entry>, difference: number): void {
    account.virtual += difference;
    this.#backloggedAccounts.update(account);
  }

  /**
   * Raises the floor of the virtual time to the counter being served, so that
   * the virtual time does not fall back when the queue becomes idle.
   */
  #raiseVirtualTimeFloor(account: Account<Entry>): void {
    const lowestCounter = this.#backloggedAccounts.first?.virtual ??
      account.virtual;
    this.#virtualTimeFloor = Math.max(
      this.#virtualTimeFloor,
      Math.min(lowestCounter, account.virtual),
    );
  }

  /** Limits the increase of counters to the debt cap; lowers none of them. */
  #capDebts(countersBefore: ReadonlyMap<Account<Entry>, number>): void {
    const highest = this.virtualTime + this.#settings.debtCap;
    for (const [account, before] of countersBefore) {
      const capped = Math.max(before, highest);
      if (account.virtual > capped) {
        this.#addToCounter(account, capped - account.virtual);
      }
    }
  }
}
