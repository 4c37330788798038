/** What waits in a pool, with its deadlines. */

import {
  BinaryHeap,
  FairQueue,
  type FairQueueOptions,
} from "@rattanvane/fairness";
import type { PoolId, QueueEntry, VmId } from "@rattanvane/protocol";

/** A waiting entry as the scheduler keeps it. */
export interface WaitingEntry {
  readonly request: string;
  readonly organisation: string;
  readonly entry: QueueEntry;
  /** When it began to wait, in clock time; earlier for one that was moved. */
  readonly waitingSince: number;
  /** When it has waited too long, in clock time. */
  readonly deadline: number;
  /** The pool that passed it on, if any. */
  readonly movedFrom: PoolId | undefined;
  /** Waits again after a grant that nobody answered for. */
  isSecondTurn: boolean;
}

/** How an entry came into the queue. */
export interface AddEntryOptions {
  now: number;
  movedFrom?: PoolId;
  /** Its organisation's counter at the pool that passed it on. */
  entitled?: number;
}

/** A fair queue whose entries have deadlines and can be set aside. */
export class PoolQueue {
  readonly fair: FairQueue<WaitingEntry>;
  /** Entries that must not run beside others yet, in order of arrival. */
  readonly #aside = new Map<string, WaitingEntry>();
  readonly #deadlines = new BinaryHeap<WaitingEntry>(
    (first, second) => first.deadline - second.deadline,
  );

  constructor(options: FairQueueOptions) {
    this.fair = new FairQueue(options);
  }

  get size(): number {
    return this.fair.size + this.#aside.size;
  }

  has(request: string): boolean {
    return this.fair.has(request) || this.#aside.has(request);
  }

  /** Takes an entry out of its turn; it goes on waiting. */
  setAside(request: string): void {
    const waiting = this.fair.remove(request) ?? this.#aside.get(request);
    if (waiting !== undefined) {
      this.#aside.delete(request);
      this.#aside.set(request, waiting);
    }
  }

  /** Gives an entry that was set aside a turn again. */
  returnToTurn(request: string): void {
    const waiting = this.#aside.get(request);
    if (waiting !== undefined) {
      this.#aside.delete(request);
      this.fair.add(waiting);
    }
  }

  /** The first entries that are set aside. */
  listAside(count: number): WaitingEntry[] {
    const listed: WaitingEntry[] = [];
    for (const waiting of this.#aside.values()) {
      if (listed.length === count) {
        break;
      }
      listed.push(waiting);
    }
    return listed;
  }

  /** Adds an entry; a request that waits already keeps its place. */
  add(entry: QueueEntry, options: AddEntryOptions): void {
    if (this.has(entry.request)) {
      return;
    }
    const waiting = createWaitingEntry(entry, options);
    this.fair.add(waiting, options.entitled);
    this.#deadlines.add(waiting);
  }

  /** Queues an entry again whose grant may not have arrived. */
  addAgain(waiting: WaitingEntry): void {
    if (this.has(waiting.request)) {
      return;
    }
    waiting.isSecondTurn = true;
    this.fair.add(waiting);
    this.#deadlines.add(waiting);
  }

  /** Takes a request out; undefined when it does not wait. */
  remove(request: string): WaitingEntry | undefined {
    const waiting = this.fair.remove(request) ?? this.#aside.get(request);
    if (waiting !== undefined) {
      this.#aside.delete(request);
      this.#deadlines.remove(waiting);
    }
    return waiting;
  }

  /** Takes out everything whose deadline has passed. */
  removeExpired(now: number): WaitingEntry[] {
    const expired: WaitingEntry[] = [];
    for (;;) {
      const first = this.#deadlines.first;
      if (first === undefined || first.deadline > now) {
        return expired;
      }
      this.remove(first.request);
      expired.push(first);
    }
  }

  /** What waits for one ingress. */
  listOfIngress(ingress: VmId): WaitingEntry[] {
    const found: WaitingEntry[] = [];
    for (const waiting of this.#listAll()) {
      if (waiting.entry.ingress === ingress) {
        found.push(waiting);
      }
    }
    return found;
  }

  *#listAll(): Generator<WaitingEntry> {
    yield* this.fair.listEntries();
    yield* this.#aside.values();
  }
}

/** Creates what the queue keeps of an entry. */
export function createWaitingEntry(
  entry: QueueEntry,
  options: AddEntryOptions,
): WaitingEntry {
  return {
    request: entry.request,
    organisation: entry.organisation,
    entry,
    waitingSince: options.now - entry.waitedMilliseconds,
    deadline: options.now + entry.waitLimitMilliseconds,
    movedFrom: options.movedFrom,
    isSecondTurn: false,
  };
}

/** The entry as another scheduler should see it now. */
export function convertToQueueEntry(
  waiting: WaitingEntry,
  now: number,
): QueueEntry {
  return {
    ...waiting.entry,
    waitedMilliseconds: now - waiting.waitingSince,
    waitLimitMilliseconds: Math.max(0, waiting.deadline - now),
  };
}
