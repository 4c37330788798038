/** A clock for tests of work that blocks the event loop. */

import { ManualClock } from "@rattanvane/base";

/** A clock whose time also passes without a turn of the event loop. */
export class BlockedClock extends ManualClock {
  #blockedMilliseconds = 0;

  override now(): number {
    return super.now() + this.#blockedMilliseconds;
  }

  /** Lets time pass at once. */
  block(milliseconds: number): void {
    this.#blockedMilliseconds += milliseconds;
  }
}
