/** Clock of a single VM that can be frozen, as SIGSTOP suspends a process. */

import { ChildAbort, Clock, Deferred } from "@rattanvane/base";

/** Follows another clock; while it is frozen, no sleep on it ends. */
export class FreezableClock extends Clock {
  readonly #clock: Clock;
  #thaw: Deferred<void> | undefined;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Keeps all sleeps from ending until the clock is thawed. */
  freeze(): void {
    this.#thaw ??= new Deferred<void>();
  }

  /** Ends the sleeps whose time has passed while the clock was frozen. */
  thaw(): void {
    this.#thaw?.resolve();
    this.#thaw = undefined;
  }

  /** Resolves as soon as the clock is not frozen. */
  async waitForThaw(): Promise<void> {
    while (this.#thaw !== undefined) {
      await this.#thaw.promise;
    }
  }

  override now(): number {
    return this.#clock.now();
  }

  override wallTime(): number {
    return this.#clock.wallTime();
  }

  override async sleep(
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<void> {
    const child = new ChildAbort(signal);
    await this.#clock.sleep(milliseconds, child.signal);
    child.abort();
    await this.waitForThaw();
  }
}
