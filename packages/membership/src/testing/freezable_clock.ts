/** A clock of one VM that can be frozen, as SIGSTOP freezes a process. */

import { ChildAbort, Clock, Deferred } from "@rattanvane/base";

/** Follows another clock; while frozen, nothing that sleeps wakes up. */
export class FreezableClock extends Clock {
  readonly #clock: Clock;
  #thaw: Deferred<void> | undefined;

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Stops all sleepers until the clock is thawed. */
  freeze(): void {
    this.#thaw ??= new Deferred<void>();
  }

  /** Lets the sleepers whose time has passed go on. */
  thaw(): void {
    this.#thaw?.resolve();
    this.#thaw = undefined;
  }

  /** Resolves when the clock is not frozen. */
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
