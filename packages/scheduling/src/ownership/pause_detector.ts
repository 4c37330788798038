/** Notices that the own process was paused. */

import type { Clock } from "@rattanvane/base";

/** How pauses are told from ordinary delays. */
export interface PauseDetectorOptions {
  clock: Clock;
  /** The longest time between two checks that is no pause. */
  longestMilliseconds: number;
}

/** Compares the monotonic clock with that of the last check. */
export class PauseDetector {
  readonly #options: PauseDetectorOptions;
  #checkedAt: number;

  constructor(options: PauseDetectorOptions) {
    this.#options = options;
    this.#checkedAt = options.clock.now();
  }

  /** Starts to count from now. */
  restart(): void {
    this.#checkedAt = this.#options.clock.now();
  }

  /** Returns the pause since the last check, or undefined without one. */
  check(): number | undefined {
    const pause = this.#options.clock.now() - this.#checkedAt;
    this.restart();
    return pause > this.#options.longestMilliseconds ? pause : undefined;
  }
}
