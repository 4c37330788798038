/** Spreads news that should not wait for the next probe. */

import { type Clock, Deferred } from "@rattanvane/base";

/** How many VMs hear urgent news at once. */
const FAN_OUT = 3;

/** The least pause between two rounds. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** How many rounds may follow each other closely. */
const BURST_ROUNDS = 30;

/** How often a further round is allowed, so that an overload is not fed. */
const ROUND_REFILL_MILLISECONDS = 500;

/** What the spread of urgent news needs. */
export interface UrgentSpreadOptions {
  clock: Clock;
  /** Sends the waiting news to some VM. */
  send: () => void;
}

/** Sends a few messages when asked to, in a bounded number of rounds. */
export class UrgentSpread {
  readonly #options: UrgentSpreadOptions;
  #requested = new Deferred<void>();
  #rounds = BURST_ROUNDS;
  #refilledAt: number;

  constructor(options: UrgentSpreadOptions) {
    this.#options = options;
    this.#refilledAt = options.clock.now();
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
    const now = this.#options.clock.now();
    const refill = (now - this.#refilledAt) / ROUND_REFILL_MILLISECONDS;
    this.#rounds = Math.min(BURST_ROUNDS, this.#rounds + refill);
    this.#refilledAt = now;
    if (this.#rounds < 1) {
      return;
    }
    this.#rounds--;
    for (let count = 0; count < FAN_OUT; count++) {
      this.#options.send();
    }
  }
}
