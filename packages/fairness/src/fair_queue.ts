/** A queue that serves the organisation with the least service first. */

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

/** What a scheduler says of an entry that could be next. */
export enum PickVerdict {
  Take = "take",
  /** Tries the organisation's next entry. */
  Skip = "skip",
  /** Ends the search; nothing can be placed now. */
  Stop = "stop",
}

/** Service charged to an organisation for one attempt. */
export interface Charge {
  readonly organisation: OrganisationId;
  /** The weight at the grant; a later change does not alter this attempt. */
  readonly weight: number;
  /** Cost units charged so far. */
  amount: number;
}

/** Settings of a fair queue. */
export interface FairQueueSettings {
  /** The most entries of one organisation that a pick looks at. */
  lookAhead: number;
  /** The most that a counter leads the lowest one by after a cut. */
  debtCap: number;
  /** For how long an organisation without waiting entries is not idle yet. */
  idleGraceMilliseconds: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_FAIR_QUEUE_SETTINGS: FairQueueSettings = {
  lookAhead: 8,
  debtCap: 20_000,
  idleGraceMilliseconds: 500,
};

interface Waiting<Entry extends FairEntry> {
  account: Account<Entry>;
  place: QueuePlace<Entry>;
}

/** An organisation's share relative to the others; above 0. */
export type FindWeight = (organisation: OrganisationId) => number;

/** What a fair queue is created with. */
export interface FairQueueOptions {
  settings: FairQueueSettings;
  clock: Clock;
  findWeight: FindWeight;
}

/** Virtual counters by organisation over queues in order of arrival. */
export class FairQueue<Entry extends FairEntry> {
  readonly #settings: FairQueueSettings;
  readonly #clock: Clock;
  readonly #findWeight: FindWeight;
  readonly #accounts = new Map<OrganisationId, Account<Entry>>();
  readonly #backlogged = new BinaryHeap<Account<Entry>>(compareAccounts);
  readonly #waiting = new Map<string, Waiting<Entry>>();
  readonly #changed = new Set<Account<Entry>>();
  #floor = 0;

  constructor(options: FairQueueOptions) {
    this.#settings = options.settings;
    this.#clock = options.clock;
    this.#findWeight = options.findWeight;
  }

  /** Entries that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Organisations with waiting entries. */
  get backloggedOrganisations(): number {
    return this.#backlogged.size;
  }

  /** The lowest backlogged counter, or where an idle queue's would start. */
  get virtualTime(): number {
    return this.#backlogged.first?.virtual ?? this.#floor;
  }

  /** The backlogged organisation that has received least. */
  get lowest(): OrganisationId | undefined {
    return this.#backlogged.first?.organisation;
  }

  /**
   * Adds an entry behind those of its organisation that have waited as long;
   * ignores a repeat. An
   * organisation that was idle is lifted, but not past the counter up to which
   * it was backlogged at another pool. One whose callers send the next request
   * when the last one was granted is not idle in between.
   */
  add(entry: Entry, entitled = Infinity): void {
    if (this.#waiting.has(entry.request)) {
      return;
    }
    const account = this.#findAccount(entry.organisation);
    const emptyFor = this.#clock.now() - account.emptySince;
    const wasIdle = account.waiting.size === 0 &&
      emptyFor > this.#settings.idleGraceMilliseconds;
    if (wasIdle) {
      const lift = Math.min(this.virtualTime, entitled);
      account.virtual = Math.max(account.virtual, lift);
    }
    const place = account.waiting.add(entry);
    this.#waiting.set(entry.request, { account, place });
    this.#backlogged.add(account);
  }

  has(request: string): boolean {
    return this.#waiting.has(request);
  }

  /** The waiting entry of a request. */
  find(request: string): Entry | undefined {
    return this.#waiting.get(request)?.place.item;
  }

  /** Takes an entry out; undefined when it does not wait. */
  remove(request: string): Entry | undefined {
    const waiting = this.#waiting.get(request);
    if (waiting === undefined) {
      return undefined;
    }
    this.#waiting.delete(request);
    waiting.account.waiting.remove(waiting.place);
    if (waiting.account.waiting.size === 0) {
      waiting.account.emptySince = this.#clock.now();
      this.#raiseFloor(waiting.account);
      this.#backlogged.remove(waiting.account);
    }
    return waiting.place.item;
  }

  /** Finds the first acceptable entry, lowest counter first; it stays. */
  pick(judge: (entry: Entry) => PickVerdict): Entry | undefined {
    const passedOver: Account<Entry>[] = [];
    let picked: Entry | undefined;
    for (;;) {
      const account = this.#backlogged.first;
      if (account === undefined) {
        break;
      }
      const found = this.#pickOf(account, judge);
      if (found !== PickVerdict.Skip) {
        picked = found === PickVerdict.Stop ? undefined : found;
        break;
      }
      this.#backlogged.remove(account);
      passedOver.push(account);
    }
    for (const account of passedOver) {
      this.#backlogged.add(account);
    }
    return picked;
  }

  /** Charges an estimate at the grant. */
  charge(organisation: OrganisationId, estimate: number): Charge {
    const account = this.#findAccount(organisation);
    this.#raiseFloor(account);
    const weight = this.#findWeight(organisation);
    const charge = { organisation, weight, amount: 0 };
    this.updateCharge(charge, estimate);
    return charge;
  }

  /** Takes over a charge that restored counters already hold. */
  adoptCharge(organisation: OrganisationId, amount: number): Charge {
    return { organisation, weight: this.#findWeight(organisation), amount };
  }

  /** Corrects a charge to what the attempt has cost in all. */
  updateCharge(charge: Charge, amount: number): void {
    const account = this.#findAccount(charge.organisation);
    const difference = amount - charge.amount;
    if (difference === 0) {
      return;
    }
    charge.amount = amount;
    account.service += difference;
    this.#changed.add(account);
    this.#addVirtual(account, difference / charge.weight);
  }

  /** Takes in service that was given elsewhere. */
  applyRemote(
    differences: readonly ServiceDifference[],
    options: { capDebt: boolean },
  ): void {
    const former = new Map<Account<Entry>, number>();
    for (const { organisation, service } of differences) {
      const account = this.#findAccount(organisation);
      former.set(account, account.virtual);
      this.#addVirtual(account, service / this.#findWeight(organisation));
    }
    if (options.capDebt) {
      this.#capDebts(former);
    }
  }

  /** Starts an idle queue's virtual time no lower than a sibling's. */
  raiseVirtualTime(virtualTime: number): void {
    if (this.#backlogged.size === 0) {
      this.#floor = Math.max(this.#floor, virtualTime);
    }
  }

  /** Adds the same to all counters, so that two queues can be compared. */
  shiftCounters(difference: number): void {
    this.#floor += difference;
    for (const account of this.#accounts.values()) {
      account.virtual += difference;
    }
  }

  /** Sets a counter that a former scheduler passed on. */
  restoreCounter(organisation: OrganisationId, virtual: number): void {
    const account = this.#findAccount(organisation);
    this.#addVirtual(account, Math.max(0, virtual - account.virtual));
    // Its entries come with the ingresses' reports; it has not been idle.
    account.emptySince = this.#clock.now();
  }

  /** The counters of organisations that are not behind the floor. */
  listCounters(): VirtualCounter[] {
    const counters: VirtualCounter[] = [];
    for (const { organisation, virtual, waiting } of this.#accounts.values()) {
      if (waiting.size > 0 || virtual > this.#floor) {
        counters.push({ organisation, virtual });
      }
    }
    return counters;
  }

  /** Organisations whose totals changed since they were last collected. */
  get changedOrganisations(): number {
    return this.#changed.size;
  }

  /** The totals given here that changed since the last call. */
  collectChangedTotals(): OrganisationCounter[] {
    const totals: OrganisationCounter[] = [];
    for (const { organisation, service } of this.#changed) {
      totals.push({ organisation, service });
    }
    this.#changed.clear();
    return totals;
  }

  /** Every waiting entry. */
  *listEntries(): Generator<Entry> {
    for (const waiting of this.#waiting.values()) {
      yield waiting.place.item;
    }
  }

  /** How many entries of an organisation wait. */
  countWaiting(organisation: OrganisationId): number {
    return this.#accounts.get(organisation)?.waiting.size ?? 0;
  }

  /** An organisation's counter; 0 when it was never seen. */
  findVirtual(organisation: OrganisationId): number {
    return this.#accounts.get(organisation)?.virtual ?? 0;
  }

  #pickOf(
    account: Account<Entry>,
    judge: (entry: Entry) => PickVerdict,
  ): Entry | PickVerdict.Skip | PickVerdict.Stop {
    let looked = 0;
    for (const entry of account.waiting) {
      const verdict = judge(entry);
      if (verdict === PickVerdict.Take) {
        return entry;
      }
      looked++;
      if (verdict === PickVerdict.Stop) {
        return verdict;
      }
      if (looked >= this.#settings.lookAhead) {
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

  #addVirtual(account: Account<Entry>, difference: number): void {
    account.virtual += difference;
    this.#backlogged.update(account);
  }

  /** Keeps an idle queue's virtual time at the last counter that was served. */
  #raiseFloor(account: Account<Entry>): void {
    const lowest = this.#backlogged.first?.virtual ?? account.virtual;
    this.#floor = Math.max(this.#floor, Math.min(lowest, account.virtual));
  }

  #capDebts(former: ReadonlyMap<Account<Entry>, number>): void {
    const highest = this.virtualTime + this.#settings.debtCap;
    for (const [account, before] of former) {
      const capped = Math.max(before, highest);
      if (account.virtual > capped) {
        this.#addVirtual(account, capped - account.virtual);
      }
    }
  }
}
