/** Spreads news that should not wait for the next probe. */

import { type Clock, Deferred } from "@rattanvane/base";
import { TokenBucket } from "./token_bucket.ts";

/** How many VMs hear urgent news at once. */
const FAN_OUT = 3;

/** The least pause between two rounds. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** How many rounds may follow each other closely. */
const BURST_ROUNDS = 30;

/** How many rounds are allowed in the long run, to feed no overload. */
const ROUNDS_PER_SECOND = 2;

/** What the spread of urgent news needs. */
export interface UrgentSpreadOptions {
  clock: Clock;
  /** Sends the waiting news to some VM. */
  send: () => void;
}

/** Sends a few messages when asked to, in a bounded number of rounds. */
export class UrgentSpread {
  readonly #options: UrgentSpreadOptions;
  readonly #rounds: TokenBucket;
  #requested = new Deferred<void>();

  constructor(options: UrgentSpreadOptions) {
    this.#options = options;
    this.#rounds = new TokenBucket({
      clock: options.clock,
      burst: BURST_ROUNDS,
      perSecond: ROUNDS_PER_SECOND,
    });
  }

  /** Asks for a round. */
  request(): void {
    this.#requested.resolve();
  }

  /** Sends rounds until the signal aborts. */
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

  /** Sends unless too many rounds were sent; the probes carry it then. */
  #sendRound(): void {
    if (this.#rounds.take(1) === 0) {
      return;
    }
    for (let count = 0; count < FAN_OUT; count++) {
      this.#options.send();
    }
  }
}
