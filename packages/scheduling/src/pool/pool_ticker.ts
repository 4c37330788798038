/** Runs a pool's periodic work, and little of it while the pool is idle. */

import type { Clock } from "@rattanvane/base";

/** What a ticker asks its pool. */
export interface PoolTickerOptions {
  clock: Clock;
  /** The period while there is something to do. */
  tickMilliseconds: number;
  /** How long nothing has to be done; undefined while something has. */
  findIdleTime: () => number | undefined;
}

/** Ticks while a pool has work, and sleeps until woken while it has none. */
export class PoolTicker {
  readonly #options: PoolTickerOptions;
  /** Ends the long sleep of an idle pool; undefined while none is slept. */
  #idleSleep: AbortController | undefined;

  constructor(options: PoolTickerOptions) {
    this.#options = options;
  }

  /** Runs steps until aborted. */
  async run(step: () => void, signal: AbortSignal): Promise<void> {
    const { clock, tickMilliseconds, findIdleTime } = this.#options;
    while (!signal.aborted) {
      step();
      const idleTime = findIdleTime();
      if (idleTime === undefined || idleTime <= tickMilliseconds) {
        await clock.sleep(tickMilliseconds, signal);
      } else {
        await this.#sleepIdle(Math.ceil(idleTime), signal);
      }
    }
  }

  /** Ends the sleep of a pool that has got something to do. */
  update(): void {
    const isSleeping = this.#idleSleep !== undefined;
    if (isSleeping && this.#options.findIdleTime() === undefined) {
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
