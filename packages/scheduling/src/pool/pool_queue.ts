/** The queue of a pool's waiting requests, with their deadlines. */

import {
  BinaryHeap,
  FairQueue,
  type FairQueueOptions,
} from "@rattanvane/fairness";
import type { PoolId, QueueEntry, VmId } from "@rattanvane/protocol";

/** A queue entry with the scheduler's own bookkeeping. */
export interface WaitingEntry {
  readonly request: string;
  readonly organisation: string;
  readonly entry: QueueEntry;
  /**
   * Clock time at which the request began to wait; for a moved entry, in the
   * pool that queued it first.
   */
  readonly waitingSince: number;
  /** Clock time at which the entry expires. */
  readonly deadline: number;
  /** The pool that moved the entry here, if any. */
  readonly movedFrom: PoolId | undefined;
  /** Whether it was requeued because its granted attempt was lost. */
  isRequeued: boolean;
}

/** Options for adding an entry to the queue. */
export interface AddEntryOptions {
  /** The current clock time. */
  now: number;
  movedFrom?: PoolId;
  /** The organisation's virtual counter in the pool that moved the entry. */
  virtualAtSource?: number;
}

/** A fair queue whose entries have deadlines and can be deferred. */
export class PoolQueue {
  readonly fair: FairQueue<WaitingEntry>;
  /**
   * Entries that must not run beside others yet, least recently deferred first.
   */
  readonly #deferred = new Map<string, WaitingEntry>();
  readonly #deadlines = new BinaryHeap<WaitingEntry>(
    (first, second) => first.deadline - second.deadline,
  );

  constructor(options: FairQueueOptions) {
    this.fair = new FairQueue(options);
  }

  /** The number of entries, including deferred ones. */
  get size(): number {
    return this.fair.size + this.#deferred.size;
  }

  /** Whether a request is queued, deferred or not. */
  has(request: string): boolean {
    return this.fair.has(request) || this.#deferred.has(request);
  }

  /**
   * Excludes an entry from fair scheduling while keeping it queued. An entry
   * that is already deferred goes to the end of the deferred entries.
   */
  defer(request: string): void {
    const waiting = this.fair.remove(request) ?? this.#deferred.get(request);
    if (waiting !== undefined) {
      this.#deferred.delete(request);
      this.#deferred.set(request, waiting);
    }
  }

  /** Returns a deferred entry to fair scheduling. */
  resume(request: string): void {
    const waiting = this.#deferred.get(request);
    if (waiting !== undefined) {
      this.#deferred.delete(request);
      this.fair.add(waiting);
    }
  }

  /** Returns up to `count` deferred entries, least recently deferred first. */
  listDeferred(count: number): WaitingEntry[] {
    const listed: WaitingEntry[] = [];
    for (const waiting of this.#deferred.values()) {
      if (listed.length === count) {
        break;
      }
      listed.push(waiting);
    }
    return listed;
  }

  /** Adds an entry; a request that is already queued keeps its position. */
  add(entry: QueueEntry, options: AddEntryOptions): void {
    if (this.has(entry.request)) {
      return;
    }
    const waiting = createWaitingEntry(entry, options);
    this.fair.add(waiting, options.virtualAtSource);
    this.#deadlines.add(waiting);
  }

  /** Requeues an entry whose grant may not have reached the ingress. */
  requeue(waiting: WaitingEntry): void {
    if (this.has(waiting.request)) {
      return;
    }
    waiting.isRequeued = true;
    this.fair.add(waiting);
    this.#deadlines.add(waiting);
  }

  /** Removes a request; returns undefined when it is not queued. */
  remove(request: string): WaitingEntry | undefined {
    const waiting = this.fair.remove(request) ?? this.#deferred.get(request);
    if (waiting !== undefined) {
      this.#deferred.delete(request);
      this.#deadlines.remove(waiting);
    }
    return waiting;
  }

  /** Removes and returns all entries whose deadline has passed. */
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

  /** Returns the entries that an ingress has queued. */
  listByIngress(ingress: VmId): WaitingEntry[] {
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
    yield* this.#deferred.values();
  }
}

/** Creates a waiting entry; its times are relative to `options.now`. */
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
    isRequeued: false,
  };
}

/** Converts back to a message entry with wait times relative to `now`. */
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
