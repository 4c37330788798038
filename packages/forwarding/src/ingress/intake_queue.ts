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
/**
 * Connections that are accepted before requests are begun again. A turn accepts
 * one at most.
 */
const MAX_ACCEPTED_IN_ROW = 64;
/** The longest time for that. */
const MAX_ACCEPT_MILLISECONDS = 50;
/** Requests that are begun then, however many connections wait. */
const MIN_BEGUN = 16;
const MAX_BEGUN = 1_000;
/** Growth of the limit with each turn that accepts no connection. */
const BEGUN_GROWTH_FACTOR = 1.5;
/** While a request of an organisation waits for this long, others are refused. */
const MAX_QUEUE_MILLISECONDS = 100;
/** Requests that waited for this long are refused in place of being begun. */
const MAX_WAIT_MILLISECONDS = 250;

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
  addedAt: number;
  /** The turn in which the request was added. */
  turn: number;
}

/**
 * Begins requests for a limited time in each turn of the event loop, so that a
 * busy VM accepts connections and notices callers that leave. While each turn
 * accepts a connection, others may wait behind it, so several are accepted for
 * each turn that begins requests. Organisations take turns, so that requests of
 * one that floods this VM wait behind each other only.
 *
 * Load: one organisation sends more requests to a VM than its processor serves,
 * on new and on kept connections.
 */
export class IntakeQueue {
  readonly #options: IntakeQueueOptions;
  /** The waiting requests by organisation; the next organisation first. */
  readonly #waiting = new Map<OrganisationId | undefined, IntakeEntry[]>();
  #turn = 0;
  #isRunning = false;
  #hasAccepted = false;
  /** Turns in a row that accepted a connection and began no request. */
  #acceptingTurns = 0;
  #lastBegunAt = -Infinity;
  /** The number of requests that were begun then. */
  #lastBegun = 0;
  /** How many requests may be begun in a turn. */
  #maxBegun = MAX_BEGUN;

  constructor(options: IntakeQueueOptions) {
    this.#options = options;
  }

  /** Whether no request waits. */
  get isEmpty(): boolean {
    return this.#waiting.size === 0;
  }

  /** The number of requests that wait. */
  get waiting(): number {
    let waiting = 0;
    for (const entries of this.#waiting.values()) {
      waiting += entries.length;
    }
    return waiting;
  }

  /** Records that the current turn has accepted a connection. */
  recordConnection(): void {
    this.#hasAccepted = true;
  }

  /** Whether a request of an organisation would wait for too long. */
  isFull(organisation: OrganisationId | undefined): boolean {
    const entries = this.#waiting.get(organisation);
    if (entries === undefined) {
      return false;
    }
    removeLeft(entries);
    const [oldest] = entries;
    return oldest !== undefined &&
      (entries.length >= this.#options.maxWaitingPerOrganisation ||
        this.#options.clock.now() - oldest.addedAt > MAX_QUEUE_MILLISECONDS);
  }

  /**
   * Waits until a request may begin. Resolves to false when it has to wait for
   * too long, or when the signal aborts.
   */
  wait(
    organisation: OrganisationId | undefined,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (this.isFull(organisation)) {
      return Promise.resolve(false);
    }
    const entries = this.#waiting.get(organisation) ?? [];
    const admission = new Deferred<boolean>();
    const addedAt = this.#options.clock.now();
    entries.push({ admission, signal, addedAt, turn: this.#turn });
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
      if (!this.#shouldAcceptFirst(now)) {
        await this.#beginWithinBudget(now);
      }
    }
    this.#isRunning = false;
  }

  /** Whether this turn leaves the time to connections that wait. */
  #shouldAcceptFirst(now: number): boolean {
    const hasAccepted = this.#hasAccepted;
    this.#hasAccepted = false;
    if (!hasAccepted) {
      this.#maxBegun = Math.min(
        MAX_BEGUN,
        this.#maxBegun * BEGUN_GROWTH_FACTOR,
      );
      return false;
    }
    const isDue = this.#acceptingTurns < MAX_ACCEPTED_IN_ROW &&
      now - this.#lastBegunAt < MAX_ACCEPT_MILLISECONDS;
    if (isDue) {
      this.#acceptingTurns++;
      return true;
    }
    this.#maxBegun = Math.max(
      MIN_BEGUN,
      Math.min(this.#maxBegun, this.#lastBegun) / 2,
    );
    return false;
  }

  async #beginWithinBudget(startedAt: number): Promise<void> {
    const { clock } = this.#options;
    this.#acceptingTurns = 0;
    let begun = 0;
    while (begun < this.#maxBegun) {
      const entry = this.#takeFromNextOrganisation();
      if (entry === undefined) {
        break;
      }
      begun++;
      entry.admission.resolve(
        clock.now() - entry.addedAt <= MAX_WAIT_MILLISECONDS,
      );
      // Lets the request go as far as it can without waiting.
      await new Promise<void>((resolve) => nextTick(resolve));
      if (clock.now() - startedAt >= TURN_BUDGET_MILLISECONDS) {
        break;
      }
    }
    this.#lastBegun = begun;
    this.#lastBegunAt = clock.now();
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

/** Ends the first entries whose callers have left. */
function removeLeft(entries: IntakeEntry[]): void {
  let [first] = entries;
  while (first?.signal.aborted) {
    entries.shift();
    first.admission.resolve(false);
    [first] = entries;
  }
}
