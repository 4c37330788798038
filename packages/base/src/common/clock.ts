/** Time as the product sees it: injected, so that tests can drive it. */

import { setTimeout as delay } from "node:timers/promises";

/** A source of time; every wait in the product goes through one. */
export abstract class Clock {
  /** Milliseconds of a clock that never goes back. */
  abstract now(): number;

  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallTime(): number;

  /** Waits; resolves early, without an error, when the signal aborts. */
  abstract sleep(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/** The machine's own clock. */
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
      // The abort is the caller's own; an early return is all it needs.
    }
  }
}

interface Sleeper {
  wakeAt: number;
  wake: () => void;
}

/** A clock that moves only when a test advances it. */
export class ManualClock extends Clock {
  #now = 0;
  #sleepers: Sleeper[] = [];

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
      const onAbort = () => this.#wake(sleeper);
      const wake = () => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      const sleeper = { wakeAt: this.#now + milliseconds, wake };
      this.#sleepers.push(sleeper);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Moves time forward in steps, letting woken tasks run between them. */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds;
    for (;;) {
      const next = this.#nextSleeper(target);
      if (next === undefined) {
        break;
      }
      this.#now = Math.max(this.#now, next.wakeAt);
      this.#wake(next);
      await settle();
    }
    this.#now = target;
    await settle();
  }

  #nextSleeper(target: number): Sleeper | undefined {
    let next: Sleeper | undefined;
    for (const sleeper of this.#sleepers) {
      if (sleeper.wakeAt > target) {
        continue;
      }
      if (next === undefined || sleeper.wakeAt < next.wakeAt) {
        next = sleeper;
      }
    }
    return next;
  }

  #wake(sleeper: Sleeper): void {
    this.#sleepers = this.#sleepers.filter((other) => other !== sleeper);
    sleeper.wake();
  }
}

/** Lets the tasks that are ready run until their next wait. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
