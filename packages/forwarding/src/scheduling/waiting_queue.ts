/** Orders the requests of one service that wait for an endpoint. */

import type { Deferred } from "@rattanvane/base";
import type { SchedulableCall } from "../model/call.ts";
import type { EndpointRestrictions } from "./endpoint_chooser.ts";
import { ShareUsage } from "./share_meter.ts";

/** A waiting request; `Decision` is the type of the result it waits for. */
export interface WaitingEntry<Decision> extends EndpointRestrictions {
  call: SchedulableCall;
  /** Monotonic time at which the request was queued, in milliseconds. */
  queuedAt: number;
  /** The organisation's use of its share when the request was queued. */
  shareUsage: ShareUsage;
  /** Monotonic time after which the request misses its objective. */
  startDeadlineAt: number;
  /** Whether the caller returned to a place that was kept for it. */
  isReturn?: boolean;
  /** Whether only the endpoints for long prompts accept it; unset if unknown. */
  isLong?: boolean;
  decision: Deferred<Decision>;
  /** Picks the version that the request is offered to, 0 to 1. */
  versionDraw?: number;
}

/**
 * A priority queue: requests are ordered by priority, then by the share usage
 * of their organisation, lowest first, and then by their start deadline. Those
 * of returning callers are moved before the others of their organisation.
 */
export class WaitingQueue<Decision> {
  readonly #entries: WaitingEntry<Decision>[] = [];
  /** The places of entries that a return moved, in place of their deadline. */
  readonly #movedDeadlines = new Map<WaitingEntry<Decision>, number>();
  #returns = 0;

  /** The number of waiting requests. */
  get size(): number {
    return this.#entries.length;
  }

  /** Inserts a request in order. */
  add(entry: WaitingEntry<Decision>): void {
    this.#moveReturn(entry);
    let index = this.#entries.length;
    while (
      index > 0 &&
      this.#compare(entry, this.#entries[index - 1]) < 0
    ) {
      index--;
    }
    this.#entries.splice(index, 0, entry);
  }

  /**
   * Counts the requests of organisations over their share, without those of
   * organisations with a higher usage, which are served later.
   */
  countOverShare(highest: ShareUsage): number {
    let count = 0;
    for (const { shareUsage } of this.#entries) {
      const isCounted = shareUsage >= ShareUsage.Over && shareUsage <= highest;
      count += isCounted ? 1 : 0;
    }
    return count;
  }

  /** Removes a request; returns whether it was in the queue. */
  remove(entry: WaitingEntry<Decision>): boolean {
    const index = this.#entries.indexOf(entry);
    if (index < 0) {
      return false;
    }
    this.#entries.splice(index, 1);
    this.#movedDeadlines.delete(entry);
    this.#returns -= entry.isReturn === true ? 1 : 0;
    return true;
  }

  /** Lists all requests in the order of service; late requests come last. */
  list(now: number): WaitingEntry<Decision>[] {
    return [
      ...this.#entries.filter(({ startDeadlineAt }) => startDeadlineAt > now),
      ...this.#entries.filter(({ startDeadlineAt }) => startDeadlineAt <= now),
    ];
  }

  /** Counts the requests that have waited past their objective. */
  countLate(now: number): number {
    let late = 0;
    for (const { startDeadlineAt } of this.#entries) {
      late += startDeadlineAt <= now ? 1 : 0;
    }
    return late;
  }

  /** Lists the waiting requests that are served before a new one. */
  listAhead(entry: WaitingEntry<Decision>): WaitingEntry<Decision>[] {
    return this.#entries.filter((other) =>
      other !== entry && this.#compare(other, entry) <= 0
    );
  }

  /** Finds the first returning caller of the same organisation. */
  findReturnBefore(
    entry: WaitingEntry<Decision>,
  ): WaitingEntry<Decision> | undefined {
    return this.#returns === 0 || entry.isReturn === true
      ? undefined
      : this.#entries.find((other) =>
        other.isReturn === true && isSameClass(other, entry)
      );
  }

  /** Orders a return before the others of its organisation, and no other. */
  #moveReturn(entry: WaitingEntry<Decision>): void {
    const isReturn = entry.isReturn === true;
    this.#returns += isReturn ? 1 : 0;
    if (this.#returns === 0) {
      return;
    }
    let deadline = entry.startDeadlineAt;
    for (const other of this.#entries) {
      if (isReturn !== (other.isReturn === true) && isSameClass(entry, other)) {
        deadline = isReturn
          ? Math.min(deadline, this.#findDeadline(other))
          : Math.max(deadline, this.#findDeadline(other));
      }
    }
    if (deadline !== entry.startDeadlineAt) {
      this.#movedDeadlines.set(entry, deadline);
    }
  }

  #findDeadline(entry: WaitingEntry<Decision>): number {
    return this.#movedDeadlines.get(entry) ?? entry.startDeadlineAt;
  }

  #compare(
    first: WaitingEntry<Decision>,
    second: WaitingEntry<Decision> | undefined,
  ): number {
    if (second === undefined) {
      return 0;
    }
    return first.call.priority - second.call.priority ||
      first.shareUsage - second.shareUsage ||
      this.#findDeadline(first) - this.#findDeadline(second) ||
      Number(second.isReturn ?? false) - Number(first.isReturn ?? false);
  }
}

/** Whether only the deadlines of two requests decide on their order. */
function isSameClass<Decision>(
  first: WaitingEntry<Decision>,
  second: WaitingEntry<Decision>,
): boolean {
  return first.call.organisation === second.call.organisation &&
    first.call.priority === second.call.priority &&
    first.shareUsage === second.shareUsage;
}
