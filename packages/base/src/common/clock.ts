/** Clock abstraction, injected so that tests can control time. */

import { setTimeout as delay } from "node:timers/promises";

/** A time source; all delays in the product use one. */
export abstract class Clock {
  /** Monotonic time, in milliseconds. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; may jump when the system clock is adjusted. */
  abstract wallTime(): number;

  /** Waits for a duration; resolves early, without an error, if the signal aborts. */
  abstract sleep(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/** The system clock. */
export class SystemClock extends Clock {
  override now(): number {
    return performance.now();
  }

  override wallTime(): number {
    return Date.now();
  }

  override async sleep(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) {
      return;
    }
    try {
      await delay(milliseconds, undefined, { signal });
    } catch {
      // The caller requested the abort, so returning early is sufficient.
    }
  }
}

interface Timer {
  dueAt: number;
  fire: () => void;
}

/** A clock for tests that advances only on request. */
export class ManualClock extends Clock {
  #now = 0;
  #timers: Timer[] = [];

  override now(): number {
    return this.#now;
  }

  override wallTime(): number {
    return this.#now;
  }

  override sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const onAbort = () => this.#fire(timer);
      const fire = () => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      const timer = { dueAt: this.#now + milliseconds, fire };
      this.#timers.push(timer);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Advances the time from timer to timer, running the woken tasks in between. */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds;
    for (;;) {
      const next = this.#findNextTimer(target);
      if (next === undefined) {
        break;
      }
      this.#now = Math.max(this.#now, next.dueAt);
      this.#fire(next);
      await settle();
    }
    this.#now = target;
    await settle();
  }

  #findNextTimer(target: number): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.#timers) {
      if (timer.dueAt > target) {
        continue;
      }
      if (next === undefined || timer.dueAt < next.dueAt) {
        next = timer;
      }
    }
    return next;
  }

  #fire(timer: Timer): void {
    this.#timers = this.#timers.filter((other) => other !== timer);
    timer.fire();
  }
}

/** Yields to the event loop so that ready tasks run until their next wait. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
