/** Clock abstraction, injected so that tests can control time. */

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

  override sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      signal.addEventListener("abort", finish, { once: true });
    });
  }
}

interface Timer {
  dueAt: number;
  isDone: boolean;
  fire: () => void;
}

/** A clock for tests that advances only on request. */
export class ManualClock extends Clock {
  readonly #resolutionMilliseconds: number;
  /** The pending timers by the time at which they are due. */
  readonly #timers = new Map<number, Timer[]>();
  #now = 0;

  /**
   * With a resolution above 0, timers that are due within the same interval of
   * that length fire together, which simulates many timers faster.
   */
  constructor(resolutionMilliseconds = 0) {
    super();
    this.#resolutionMilliseconds = resolutionMilliseconds;
  }

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
      const onAbort = () => runTimer(timer);
      const fire = () => {
        signal.removeEventListener("abort", onAbort);
        resolve();
      };
      const dueAt = this.#round(this.#now + milliseconds);
      const timer = { dueAt, isDone: false, fire };
      this.#addTimer(timer);
      signal.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Advances the time from timer to timer, running the woken tasks in between. */
  async advance(milliseconds: number): Promise<void> {
    const target = this.#now + milliseconds;
    for (;;) {
      const dueAt = this.#findNextDueTime(target);
      if (dueAt === undefined) {
        break;
      }
      this.#now = Math.max(this.#now, dueAt);
      await this.#fireDue(dueAt);
    }
    this.#now = target;
    await settle();
  }

  #round(dueAt: number): number {
    const resolution = this.#resolutionMilliseconds;
    return resolution === 0
      ? dueAt
      : Math.ceil(dueAt / resolution) * resolution;
  }

  #addTimer(timer: Timer): void {
    const timers = this.#timers.get(timer.dueAt);
    if (timers === undefined) {
      this.#timers.set(timer.dueAt, [timer]);
    } else {
      timers.push(timer);
    }
  }

  #findNextDueTime(target: number): number | undefined {
    let next: number | undefined;
    for (const dueAt of this.#timers.keys()) {
      if (dueAt <= target && (next === undefined || dueAt < next)) {
        next = dueAt;
      }
    }
    return next;
  }

  /** Fires the timers of one time, each by itself without a resolution. */
  async #fireDue(dueAt: number): Promise<void> {
    const timers = this.#timers.get(dueAt) ?? [];
    this.#timers.delete(dueAt);
    if (this.#resolutionMilliseconds > 0) {
      timers.forEach(runTimer);
      await settle();
      return;
    }
    for (const timer of timers) {
      if (!timer.isDone) {
        runTimer(timer);
        await settle();
      }
    }
  }
}

function runTimer(timer: Timer): void {
  if (!timer.isDone) {
    timer.isDone = true;
    timer.fire();
  }
}

/** Yields to the event loop so that ready tasks run until their next wait. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
