/** Decides when a saturated VM leaves the load balancer's rotation. */

import { performance } from "node:perf_hooks";
import type { Clock, Logger, RandomSource } from "@rattanvane/base";

const CHECK_MILLISECONDS = 100;
/** How long a VM asks to leave after connections have waited for too long. */
const ASKING_MILLISECONDS = 1_000;
/** A scheduler that has not agreed within this time does not agree. */
const REPLY_MILLISECONDS = 700;
const FIRST_LEAVE_MILLISECONDS = 4_000;
const MAX_FIRST_LEAVE_MILLISECONDS = 16_000;
/** A VM that is saturated again within this time stays out for twice as long. */
const RELAPSE_MILLISECONDS = 20_000;
/** A VM returns after this time although its event loop is busy. */
const MAX_LEAVE_MILLISECONDS = 30_000;
/**
 * The load balancer checks readiness once a second and takes a VM out of
 * rotation after two failed checks.
 */
const BALANCER_REACTION_MILLISECONDS = 2_100;
/** Callers that were refused come back spread over this time. */
const SPREAD_MILLISECONDS = 400;
/** A VM with a busier event loop stays out. */
const MAX_UTILIZATION = 0.7;
const UTILIZATION_MILLISECONDS = 1_000;

/** Dependencies of a {@link RotationController}. */
export interface RotationControllerOptions {
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Whether the zone's scheduler lets this VM be out of rotation now. */
  mayLeave: () => boolean;
  /** Whether a scheduler may let this VM be out of rotation at all. */
  hasScheduler: () => boolean;
  /** Asks the scheduler at once. */
  askSoon: () => void;
  /** The part of the time since the last call in which the loop was not idle. */
  measureUtilization?: () => number;
}

/**
 * Takes this VM out of rotation while its callers saturate it, if the zone's
 * scheduler agrees, so that the load balancer sends their new connections to
 * other VMs. Connections that are open stay and are served. A VM that is
 * saturated again soon after its return stays out for longer.
 *
 * Load: callers of an organisation who all reach one VM.
 */
export class RotationController {
  readonly #options: RotationControllerOptions;
  readonly #measureUtilization: () => number;
  #overloadedAt = -Infinity;
  /** When this VM began to ask. */
  #askedAt = -Infinity;
  #isRunning = false;
  /** When the VM left the rotation; undefined while it is in. */
  #leftAt: number | undefined;
  #returnedAt = -Infinity;
  #leaveMilliseconds = FIRST_LEAVE_MILLISECONDS;
  #utilization = 1;
  #measuredAt = -Infinity;

  constructor(options: RotationControllerOptions) {
    this.#options = options;
    this.#measureUtilization = options.measureUtilization ??
      createUtilizationMeter();
  }

  /** Whether the VM is to be in rotation. */
  get isInRotation(): boolean {
    return this.#leftAt === undefined;
  }

  /** Whether the VM is out of rotation, or asks to be. */
  get isAsking(): boolean {
    return this.#isRunning;
  }

  /**
   * After what time a refused caller's next connection reaches another VM;
   * undefined while the load balancer is not expected to move it.
   */
  computeMoveMilliseconds(): number | undefined {
    const { clock, random, hasScheduler } = this.#options;
    const now = clock.now();
    const isExpected = this.#isRunning && hasScheduler() &&
      now - this.#askedAt < REPLY_MILLISECONDS;
    const leftAt = this.#leftAt ?? (isExpected ? now : undefined);
    if (leftAt === undefined) {
      return undefined;
    }
    const remaining = leftAt + BALANCER_REACTION_MILLISECONDS - now;
    return Math.max(0, remaining) +
      random.nextFraction() * SPREAD_MILLISECONDS;
  }

  /** Records that connections have waited for too long, until the signal aborts. */
  recordOverload(signal: AbortSignal): void {
    const { clock, askSoon } = this.#options;
    this.#overloadedAt = clock.now();
    if (!this.#isRunning) {
      this.#isRunning = true;
      this.#askedAt = this.#overloadedAt;
      askSoon();
      void this.#run(signal);
    }
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted && this.#update()) {
      await clock.sleep(CHECK_MILLISECONDS, signal);
    }
    this.#isRunning = false;
  }

  /** Leaves or returns if it is time to; false when nothing is left to do. */
  #update(): boolean {
    const { clock, mayLeave } = this.#options;
    const now = clock.now();
    if (this.#leftAt === undefined) {
      if (mayLeave()) {
        this.#leave(now);
        return true;
      }
      return now - this.#overloadedAt < ASKING_MILLISECONDS;
    }
    this.#updateUtilization(now);
    const reason = this.#findReasonToReturn(now, this.#leftAt);
    if (reason === undefined) {
      return true;
    }
    this.#leftAt = undefined;
    this.#returnedAt = now;
    this.#options.logger.info("this VM returns to the rotation", { reason });
    return false;
  }

  #leave(now: number): void {
    const hasRelapsed = now - this.#returnedAt < RELAPSE_MILLISECONDS;
    this.#leaveMilliseconds = hasRelapsed
      ? Math.min(MAX_FIRST_LEAVE_MILLISECONDS, this.#leaveMilliseconds * 2)
      : FIRST_LEAVE_MILLISECONDS;
    this.#leftAt = now;
    this.#utilization = 1;
    this.#measuredAt = now;
    this.#measureUtilization();
    this.#options.logger.info("this VM leaves the rotation", {
      forMilliseconds: this.#leaveMilliseconds,
    });
  }

  #updateUtilization(now: number): void {
    if (now - this.#measuredAt >= UTILIZATION_MILLISECONDS) {
      this.#measuredAt = now;
      this.#utilization = this.#measureUtilization();
    }
  }

  #findReasonToReturn(now: number, leftAt: number): string | undefined {
    const elapsed = now - leftAt;
    if (!this.#options.mayLeave()) {
      return "the scheduler no longer agrees";
    }
    if (elapsed >= MAX_LEAVE_MILLISECONDS) {
      return "it has been out for long";
    }
    const isIdle = this.#utilization <= MAX_UTILIZATION;
    return elapsed >= this.#leaveMilliseconds && isIdle
      ? "its event loop has time"
      : undefined;
  }
}

function createUtilizationMeter(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}
