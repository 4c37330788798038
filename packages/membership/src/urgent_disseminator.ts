/** Disseminates updates that should not wait for the next regular probe. */

import { type Clock, Deferred } from "@rattanvane/base";
import { TokenBucket } from "./token_bucket.ts";

/** Number of VMs that receive a message in each round. */
const FAN_OUT_VMS = 3;

/** Minimum interval between the starts of two rounds. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** Number of rounds that may follow each other at the minimum interval. */
const ROUNDS_BURST = 30;

/**
 * Sustained rate of rounds; limited so that rounds do not add load to an
 * overloaded zone.
 */
const ROUNDS_PER_SECOND = 2;

/** Dependencies of an {@link UrgentDisseminator}. */
export interface UrgentDisseminatorOptions {
  clock: Clock;
  /** Sends the queued updates to a random VM. */
  send: () => void;
}

/** Sends messages to several VMs on request, in rate-limited rounds. */
export class UrgentDisseminator {
  readonly #options: UrgentDisseminatorOptions;
  readonly #rounds: TokenBucket;
  #requested = new Deferred<void>();

  constructor(options: UrgentDisseminatorOptions) {
    this.#options = options;
    this.#rounds = new TokenBucket({
      clock: options.clock,
      burst: ROUNDS_BURST,
      perSecond: ROUNDS_PER_SECOND,
    });
  }

  /** Requests a round. */
  request(): void {
    this.#requested.resolve();
  }

  /** Sends the requested rounds until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.request(), { once: true });
    for (;;) {
      await this.#requested.promise;
      if (signal.aborted) {
        return;
      }
      this.#requested = new Deferred<void>();
      this.#sendRound();
      await this.#options.clock.sleep(MINIMUM_INTERVAL_MILLISECONDS, signal);
      if (signal.aborted) {
        return;
      }
    }
  }

  /**
   * Sends to several VMs unless the rate limit is reached; regular probes carry
   * the updates then.
   */
  #sendRound(): void {
    if (this.#rounds.take(1) === 0) {
      return;
    }
    for (let count = 0; count < FAN_OUT_VMS; count++) {
      this.#options.send();
    }
  }
}
