/** Detection of pauses of this process. */

import type { Clock } from "@rattanvane/base";

/** Dependencies and threshold of `PauseDetector`. */
export interface PauseDetectorOptions {
  clock: Clock;
  /** A longer time between two checks counts as a pause. */
  thresholdMilliseconds: number;
}

/** Detects pauses of this process by the monotonic time between checks. */
export class PauseDetector {
  readonly #options: PauseDetectorOptions;
  #checkedAt: number;

  constructor(options: PauseDetectorOptions) {
    this.#options = options;
    this.#checkedAt = options.clock.now();
  }

  /** Resets the time of the last check to now. */
  reset(): void {
    this.#checkedAt = this.#options.clock.now();
  }

  /** Returns the pause since the last check in ms; undefined without one. */
  check(): number | undefined {
    const pause = this.#options.clock.now() - this.#checkedAt;
    this.reset();
    return pause > this.#options.thresholdMilliseconds ? pause : undefined;
  }
}
