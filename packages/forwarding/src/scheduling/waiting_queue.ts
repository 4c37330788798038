/** The requests of one service that wait for an endpoint, in order. */

import type { Deferred } from "@rattanvane/base";
import type { ForwardedCall } from "../model/call.ts";
import { ShareStanding } from "./share_meter.ts";

/** A request that waits; `Verdict` is what it waits for. */
export interface Waiting<Verdict> {
  call: ForwardedCall;
  /** Endpoints that failed it. */
  avoid: ReadonlySet<string>;
  since: number;
  /** What its organisation had got when it came. */
  standing: ShareStanding;
  /** After this it is too late for the objective. */
  startBy: number;
  verdict: Deferred<Verdict>;
}

/**
 * Keeps the more urgent first, then those whose organisation has had least,
 * then those that must start first.
 */
export class WaitingQueue<Verdict> {
  readonly #waiting: Waiting<Verdict>[] = [];

  get size(): number {
    return this.#waiting.length;
  }

  add(waiting: Waiting<Verdict>): void {
    let place = this.#waiting.length;
    while (
      place > 0 &&
      compareWaiting(waiting, this.#waiting[place - 1]) < 0
    ) {
      place--;
    }
    this.#waiting.splice(place, 0, waiting);
  }

  /** How many wait of those over their share. */
  countOverShare(): number {
    let count = 0;
    for (const { standing } of this.#waiting) {
      count += standing >= ShareStanding.Over ? 1 : 0;
    }
    return count;
  }

  /** Returns whether it waited. */
  remove(waiting: Waiting<Verdict>): boolean {
    const place = this.#waiting.indexOf(waiting);
    if (place < 0) {
      return false;
    }
    this.#waiting.splice(place, 1);
    return true;
  }

  /** Lists all in the order in which they get room; the late come last. */
  list(now: number): Waiting<Verdict>[] {
    return [
      ...this.#waiting.filter(({ startBy }) => startBy > now),
      ...this.#waiting.filter(({ startBy }) => startBy <= now),
    ];
  }

  /** How many have waited beyond their objective. */
  countLate(now: number): number {
    let late = 0;
    for (const { startBy } of this.#waiting) {
      late += startBy <= now ? 1 : 0;
    }
    return late;
  }
}

function compareWaiting<Verdict>(
  first: Waiting<Verdict>,
  second: Waiting<Verdict> | undefined,
): number {
  if (second === undefined) {
    return 0;
  }
  return first.call.priority - second.call.priority ||
    first.standing - second.standing ||
    first.startBy - second.startBy;
}
