/** Limits the requests in progress while connections wait to be accepted. */

import type { Clock } from "@rattanvane/base";
import type { OrganisationId } from "@rattanvane/protocol";

/** A queue that stands for longer lowers the limit; a burst is passed on. */
const MAX_STANDING_MILLISECONDS = 500;
/** The time between two reductions, in which the queue may become empty. */
const REDUCTION_INTERVAL_MILLISECONDS = 500;
const REDUCTION_FACTOR = 0.7;
/**
 * However long connections wait, so many requests may be in progress. A request
 * takes as much time as ten or more refusals do.
 */
const MIN_LIMIT = 4;
/** Growth per second, as a factor, while no connection waits. */
const GROWTH_PER_SECOND = 8;
/** Above this, the limit is lifted. */
const MAX_LIMIT = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** What a {@link ConcurrencyLimit} reads of its VM. */
export interface ConcurrencyLimitOptions {
  clock: Clock;
  /** How long connections have waited without a break, in milliseconds. */
  readStanding: () => number;
  /** Counts the requests in progress, those that are passed on as well. */
  countActive: () => number;
}

/**
 * Lowers the number of requests in progress while each turn of the event loop
 * finds another connection to accept, and raises it afterwards. Events of
 * streams are handled before connections are accepted, so a VM with too many
 * streams accepts none, and their callers are told nothing.
 *
 * Load: one organisation opens more connections to a VM than it can serve.
 */
export class ConcurrencyLimit {
  readonly #options: ConcurrencyLimitOptions;
  /** Requests in progress by organisation, those without one as well. */
  readonly #active = new Map<OrganisationId | undefined, number>();
  #limit = Infinity;
  #reducedAt = -Infinity;
  /** The last time at which no connection waited; the limit grows from it. */
  #calmAt: number | undefined;

  constructor(options: ConcurrencyLimitOptions) {
    this.#options = options;
  }

  /** The number of requests that may be in progress; infinite for no limit. */
  get current(): number {
    this.#update();
    return this.#limit;
  }

  /** Whether another connection may be passed on. */
  hasRoom(): boolean {
    return this.current === Infinity ||
      this.#options.countActive() < this.#limit;
  }

  /**
   * Whether a request of an organisation may begin. One with less than an equal
   * part of the limit is not kept out by others.
   */
  hasRoomFor(organisation: OrganisationId | undefined): boolean {
    if (this.hasRoom()) {
      return true;
    }
    const own = this.#active.get(organisation) ?? 0;
    const sharers = this.#active.size + (own === 0 ? 1 : 0);
    return own < this.#limit / sharers;
  }

  /** Counts a request that begins. */
  addRequest(organisation: OrganisationId | undefined): void {
    this.#active.set(organisation, (this.#active.get(organisation) ?? 0) + 1);
  }

  /** Counts the end of a request. */
  removeRequest(organisation: OrganisationId | undefined): void {
    const remaining = (this.#active.get(organisation) ?? 0) - 1;
    if (remaining > 0) {
      this.#active.set(organisation, remaining);
    } else {
      this.#active.delete(organisation);
    }
  }

  #update(): void {
    const { clock, readStanding, countActive } = this.#options;
    const now = clock.now();
    const standing = readStanding();
    if (standing === 0) {
      this.#grow(now);
      return;
    }
    this.#calmAt = undefined;
    const isDue = standing > MAX_STANDING_MILLISECONDS &&
      now - this.#reducedAt >= REDUCTION_INTERVAL_MILLISECONDS;
    if (isDue) {
      const used = Math.min(this.#limit, countActive());
      this.#limit = Math.max(MIN_LIMIT, Math.floor(used * REDUCTION_FACTOR));
      this.#reducedAt = now;
    }
  }

  #grow(now: number): void {
    if (this.#limit === Infinity) {
      return;
    }
    const seconds = (now - (this.#calmAt ?? now)) / MILLISECONDS_PER_SECOND;
    const raised = this.#limit * GROWTH_PER_SECOND ** seconds;
    this.#limit = raised > MAX_LIMIT ? Infinity : raised;
    this.#calmAt = now;
  }
}
