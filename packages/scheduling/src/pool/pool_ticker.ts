/** Runs a pool's periodic work, less often while the pool is idle. */

import type { Clock } from "@rattanvane/base";

/** The clock, the period and the idle check of a ticker. */
export interface PoolTickerOptions {
  clock: Clock;
  /** The period while the pool has pending work. */
  tickMilliseconds: number;
  /** Returns how long the pool can idle; undefined while work is pending. */
  findIdleMilliseconds: () => number | undefined;
}

/** Ticks at a fixed period under load; sleeps longer while the pool is idle. */
export class PoolTicker {
  readonly #options: PoolTickerOptions;
  /** Interrupts the sleep of an idle pool; undefined while it is awake. */
  #idleSleep: AbortController | undefined;

  constructor(options: PoolTickerOptions) {
    this.#options = options;
  }

  /** Calls `step` periodically until aborted. */
  async run(step: () => void, signal: AbortSignal): Promise<void> {
    const { clock, tickMilliseconds, findIdleMilliseconds } = this.#options;
    while (!signal.aborted) {
      step();
      const idleMilliseconds = findIdleMilliseconds();
      if (
        idleMilliseconds === undefined || idleMilliseconds <= tickMilliseconds
      ) {
        await clock.sleep(tickMilliseconds, signal);
      } else {
        await this.#sleepIdle(Math.ceil(idleMilliseconds), signal);
      }
    }
  }

  /** Interrupts an idle sleep if the pool has pending work by now. */
  wakeIfBusy(): void {
    const isSleeping = this.#idleSleep !== undefined;
    if (isSleeping && this.#options.findIdleMilliseconds() === undefined) {
      this.#idleSleep?.abort();
    }
  }

  async #sleepIdle(milliseconds: number, signal: AbortSignal): Promise<void> {
    const idleSleep = new AbortController();
    const onAbort = () => idleSleep.abort();
    signal.addEventListener("abort", onAbort, { once: true });
    this.#idleSleep = idleSleep;
    await this.#options.clock.sleep(milliseconds, idleSleep.signal);
    this.#idleSleep = undefined;
    signal.removeEventListener("abort", onAbort);
  }
}
