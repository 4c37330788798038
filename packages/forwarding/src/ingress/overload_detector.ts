/** Detects that a VM gets more requests than its processor serves. */

import type { Clock, Logger } from "@rattanvane/base";

const SAMPLE_MILLISECONDS = 500;
/** A process that waits for nothing during this share of the time is saturated. */
const SATURATED_FRACTION = 0.97;
/** A suspension or the start of a process is over sooner. */
const SATURATED_SAMPLES = 3;
/**
 * The load balancer needs two seconds to take a VM out of rotation, and its
 * connections some more to move.
 */
const RECOVERY_MILLISECONDS = 4_000;

/** Dependencies of an {@link OverloadDetector}. */
export interface OverloadDetectorOptions {
  clock: Clock;
  logger: Logger;
  /** Reads how long the event loop has been idle since the process started. */
  readIdleMilliseconds: () => number;
}

/**
 * A VM is overloaded when its event loop is never idle for a while. Connections
 * then wait to be accepted until their callers have given up, so the VM should
 * not count as ready, and its connections should move to others.
 *
 * Load: one organisation's callers all reach one VM, or a VM has become slow.
 */
export class OverloadDetector {
  readonly #options: OverloadDetectorOptions;
  #sampledAt: number;
  #idleMilliseconds: number;
  #saturatedSamples = 0;
  #overloadedUntil = -Infinity;

  constructor(options: OverloadDetectorOptions) {
    this.#options = options;
    this.#sampledAt = options.clock.now();
    this.#idleMilliseconds = options.readIdleMilliseconds();
  }

  /** Whether the VM is overloaded, or was until a short time ago. */
  get isOverloaded(): boolean {
    return this.#options.clock.now() < this.#overloadedUntil;
  }

  /** Samples the event loop if that is due; call it while requests arrive. */
  update(): void {
    const { clock, readIdleMilliseconds } = this.#options;
    const now = clock.now();
    const elapsed = now - this.#sampledAt;
    if (elapsed < SAMPLE_MILLISECONDS) {
      return;
    }
    const idleMilliseconds = readIdleMilliseconds();
    const idle = idleMilliseconds - this.#idleMilliseconds;
    this.#sampledAt = now;
    this.#idleMilliseconds = idleMilliseconds;
    const isSaturated = idle <= elapsed * (1 - SATURATED_FRACTION);
    this.#saturatedSamples = isSaturated ? this.#saturatedSamples + 1 : 0;
    if (this.#saturatedSamples >= SATURATED_SAMPLES) {
      this.#recordOverload(now);
    }
  }

  #recordOverload(now: number): void {
    if (!this.isOverloaded) {
      this.#options.logger.warn(
        "this VM is overloaded; not ready for a while",
        {
          saturatedMilliseconds: SATURATED_SAMPLES * SAMPLE_MILLISECONDS,
        },
      );
    }
    this.#overloadedUntil = now + RECOVERY_MILLISECONDS;
  }
}
