/** Limits the requests that this VM sends to an endpoint that states a limit. */

import type { Clock, RandomSource } from "@rattanvane/base";

/** How much of the unused limit is kept for a burst. */
const BURST_MILLISECONDS = 500;
/**
 * All VMs together send this at least, since only a response tells that a lower
 * limit is lifted.
 */
const MIN_REQUESTS_PER_SECOND = 0.25;
const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies of an {@link EndpointRateLimit}. */
export interface EndpointRateLimitOptions {
  clock: Clock;
  /** Staggers the first requests of VMs that learn of a limit together. */
  random: RandomSource;
  /** The VMs that share a limit; infinite while this VM has no part of it. */
  countVms: () => number;
}

/** A token bucket that is filled with this VM's part of an endpoint's limit. */
export class EndpointRateLimit {
  readonly #options: EndpointRateLimitOptions;
  #requestsPerSecond: number | undefined;
  #tokens = 0;
  #filledAt = 0;

  constructor(options: EndpointRateLimitOptions) {
    this.#options = options;
  }

  /** Whether the endpoint states a limit. */
  get isLimited(): boolean {
    return this.#requestsPerSecond !== undefined;
  }

  /** Applies the limit of all VMs together; undefined for none. */
  update(requestsPerSecond: number | undefined): void {
    if (this.#requestsPerSecond === undefined) {
      this.#tokens = this.#options.random.nextFraction();
      this.#filledAt = this.#options.clock.now();
    }
    this.#fill();
    this.#requestsPerSecond = requestsPerSecond;
  }

  /** Whether this VM may send one more request now. */
  hasCapacity(): boolean {
    if (this.#requestsPerSecond === undefined) {
      return true;
    }
    this.#fill();
    return this.#tokens >= 1;
  }

  /** Records a request that is sent now. */
  recordArrival(): void {
    this.#tokens--;
  }

  #fill(): void {
    const { clock, countVms } = this.#options;
    if (this.#requestsPerSecond === undefined) {
      return;
    }
    const now = clock.now();
    const perMillisecond =
      Math.max(this.#requestsPerSecond, MIN_REQUESTS_PER_SECOND) /
      Math.max(1, countVms()) / MILLISECONDS_PER_SECOND;
    const capacity = Math.max(1, perMillisecond * BURST_MILLISECONDS);
    const tokens = this.#tokens + perMillisecond * (now - this.#filledAt);
    this.#tokens = Math.min(capacity, tokens);
    this.#filledAt = now;
  }
}
