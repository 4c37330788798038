/** Detects that a VM gets more requests than its processor serves. */

import type { Clock, Logger } from "@rattanvane/base";
import type { IntakeTurn } from "./intake_queue.ts";

/** A request takes several turns; with longer ones it misses its objective. */
const LONG_TURN_MILLISECONDS = 100;
/** A request that waits this long to be begun is answered late. */
const LONG_WAIT_MILLISECONDS = 200;
/** Two long turns or waits within this time belong to the same overload. */
const GAP_MILLISECONDS = 500;
/** A suspension or a garbage collection is over sooner. */
const DETECTION_MILLISECONDS = 800;
/**
 * The load balancer needs two seconds to take a VM out of rotation, and its
 * connections some more to move.
 */
const RECOVERY_MILLISECONDS = 4_000;

/** Dependencies of an {@link OverloadDetector}. */
export interface OverloadDetectorOptions {
  clock: Clock;
  logger: Logger;
}

/**
 * A VM is overloaded when turns of its event loop stay long, or requests wait
 * long to be begun. It then accepts only one connection in each of these turns,
 * so it should not count as ready, and its connections should move to others.
 *
 * Load: one organisation's callers all reach one VM, or a VM has become slow.
 */
export class OverloadDetector {
  readonly #options: OverloadDetectorOptions;
  #firstLongAt = -Infinity;
  #lastLongAt = -Infinity;
  #overloadedUntil = -Infinity;

  constructor(options: OverloadDetectorOptions) {
    this.#options = options;
  }

  /** Whether the VM is overloaded, or was until a short time ago. */
  get isOverloaded(): boolean {
    return this.#options.clock.now() < this.#overloadedUntil;
  }

  /** Records a turn of the event loop in which requests were begun. */
  recordTurn({ turnMilliseconds, waitedMilliseconds }: IntakeTurn): void {
    const isLong = turnMilliseconds >= LONG_TURN_MILLISECONDS ||
      waitedMilliseconds >= LONG_WAIT_MILLISECONDS;
    if (!isLong) {
      return;
    }
    const now = this.#options.clock.now();
    if (now - this.#lastLongAt > GAP_MILLISECONDS) {
      this.#firstLongAt = now;
    }
    this.#lastLongAt = now;
    if (now - this.#firstLongAt < DETECTION_MILLISECONDS) {
      return;
    }
    if (!this.isOverloaded) {
      this.#options.logger.warn(
        "this VM is overloaded; not ready for a while",
        {
          turnMilliseconds: Math.round(turnMilliseconds),
          waitedMilliseconds: Math.round(waitedMilliseconds),
        },
      );
    }
    this.#overloadedUntil = now + RECOVERY_MILLISECONDS;
  }
}
