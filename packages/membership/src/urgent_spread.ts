/** Spreads news that should not wait for the next probe. */

import { type Clock, Deferred } from "@rattanvane/base";

/** How many VMs hear urgent news at once. */
const FAN_OUT = 3;

/** The least pause between two rounds, whatever happens. */
const MINIMUM_INTERVAL_MILLISECONDS = 100;

/** What the spread of urgent news needs. */
export interface UrgentSpreadOptions {
  clock: Clock;
  /** Sends the waiting news to some VM. */
  send: () => void;
}

/** Sends a few messages when asked to, in rounds that do not follow closely. */
export class UrgentSpread {
  readonly #options: UrgentSpreadOptions;
  #requested = new Deferred<void>();

  constructor(options: UrgentSpreadOptions) {
    this.#options = options;
  }

  /** Asks for a round. */
  request(): void {
    this.#requested.resolve();
  }

  /** Sends rounds until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this.request(), { once: true });
    while (!signal.aborted) {
      await this.#requested.promise;
      if (signal.aborted) {
        return;
      }
      this.#requested = new Deferred<void>();
      for (let count = 0; count < FAN_OUT; count++) {
        this.#options.send();
      }
      await this.#options.clock.sleep(MINIMUM_INTERVAL_MILLISECONDS, signal);
    }
  }
}
