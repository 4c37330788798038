/** Orders the requests that a VM has read and not begun to serve. */

import { nextTick } from "node:process";
import { setImmediate as waitForTurn } from "node:timers/promises";
import { type Clock, Deferred } from "@rattanvane/base";
import type { OrganisationId } from "@rattanvane/protocol";

/**
 * A request is served after the next poll of the event loop at the earliest: if
 * its caller has left before it was read, that poll tells.
 */
const MIN_TURNS = 2;
/** The time for beginning requests in a turn; at least one is begun. */
const TURN_BUDGET_MILLISECONDS = 15;

/** Dependencies and limit of an {@link IntakeQueue}. */
export interface IntakeQueueOptions {
  clock: Clock;
  /** How many requests of one organisation may wait. */
  maxWaitingPerOrganisation: number;
  /** Records the length of a turn of the event loop, in milliseconds. */
  recordTurn: (milliseconds: number) => void;
}

interface IntakeEntry {
  admission: Deferred<boolean>;
  signal: AbortSignal;
  /** The turn in which the request was added. */
  turn: number;
}

/**
 * Begins requests for a limited time in each turn of the event loop, so that a
 * busy VM accepts connections and notices callers that leave. Organisations
 * take turns, so that requests of one that floods this VM wait behind each other
 * only.
 *
 * Load: one organisation sends more requests to a VM than its processor serves.
 */
export class IntakeQueue {
  readonly #options: IntakeQueueOptions;
  /** The waiting requests by organisation; the next organisation first. */
  readonly #waiting = new Map<OrganisationId | undefined, IntakeEntry[]>();
  #turn = 0;
  #isRunning = false;

  constructor(options: IntakeQueueOptions) {
    this.#options = options;
  }

  /** The number of requests that wait. */
  get waiting(): number {
    let waiting = 0;
    for (const entries of this.#waiting.values()) {
      waiting += entries.length;
    }
    return waiting;
  }

  /**
   * Waits until a request may begin. Resolves to false when too many requests
   * of its organisation wait, or when the signal aborts.
   */
  wait(
    organisation: OrganisationId | undefined,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { maxWaitingPerOrganisation } = this.#options;
    let entries = this.#waiting.get(organisation) ?? [];
    if (entries.length >= maxWaitingPerOrganisation) {
      entries = removeLeft(entries);
    }
    if (entries.length >= maxWaitingPerOrganisation) {
      return Promise.resolve(false);
    }
    const admission = new Deferred<boolean>();
    entries.push({ admission, signal, turn: this.#turn });
    this.#waiting.set(organisation, entries);
    if (!this.#isRunning) {
      this.#isRunning = true;
      void this.#run();
    }
    return admission.promise;
  }

  async #run(): Promise<void> {
    const { clock, recordTurn } = this.#options;
    let startedAt = clock.now();
    while (this.#waiting.size > 0) {
      await waitForTurn();
      this.#turn++;
      const now = clock.now();
      recordTurn(now - startedAt);
      startedAt = now;
      await this.#beginWithinBudget(now);
    }
    this.#isRunning = false;
  }

  async #beginWithinBudget(startedAt: number): Promise<void> {
    const { clock } = this.#options;
    while (clock.now() - startedAt < TURN_BUDGET_MILLISECONDS) {
      const entry = this.#takeFromNextOrganisation();
      if (entry === undefined) {
        return;
      }
      entry.admission.resolve(true);
      // Lets the request go as far as it can without waiting.
      await new Promise<void>((resolve) => nextTick(resolve));
    }
  }

  #takeFromNextOrganisation(): IntakeEntry | undefined {
    for (const [organisation, entries] of this.#waiting) {
      const entry = this.#takeNext(entries);
      if (entries.length === 0) {
        this.#waiting.delete(organisation);
      }
      if (entry !== undefined) {
        this.#moveToEnd(organisation);
        return entry;
      }
    }
    return undefined;
  }

  /** Takes the first entry that is old enough; ends those of left callers. */
  #takeNext(entries: IntakeEntry[]): IntakeEntry | undefined {
    for (;;) {
      const [entry] = entries;
      if (entry === undefined || this.#turn < entry.turn + MIN_TURNS) {
        return undefined;
      }
      entries.shift();
      if (!entry.signal.aborted) {
        return entry;
      }
      entry.admission.resolve(false);
    }
  }

  #moveToEnd(organisation: OrganisationId | undefined): void {
    const entries = this.#waiting.get(organisation);
    if (entries !== undefined) {
      this.#waiting.delete(organisation);
      this.#waiting.set(organisation, entries);
    }
  }
}

/** Ends the entries whose callers have left and returns the others. */
function removeLeft(entries: readonly IntakeEntry[]): IntakeEntry[] {
  const remaining: IntakeEntry[] = [];
  for (const entry of entries) {
    if (entry.signal.aborted) {
      entry.admission.resolve(false);
    } else {
      remaining.push(entry);
    }
  }
  return remaining;
}
