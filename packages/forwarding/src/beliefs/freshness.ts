/** How long ago a belief was known to be current. */

import type { Clock } from "@rattanvane/base";

/** A larger difference between the two clocks counts as a suspension. */
const SUSPENSION_MILLISECONDS = 500;

interface Proof {
  askedAt: number;
  wallAskedAt: number;
}

/** A moment on both clocks, taken when a question is sent. */
export interface QuestionTime {
  steady: number;
  wall: number;
}

/**
 * Counts a belief's age from when the question was sent that confirmed it. The
 * steady clock stands still while the VM is suspended, the time of day does
 * not, so a difference between them voids the proof.
 */
export class Freshness {
  readonly #clock: Clock;
  #proof: Proof | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Reads both clocks for a question that is about to be sent. */
  readQuestionTime(): QuestionTime {
    return { steady: this.#clock.now(), wall: this.#clock.wallTime() };
  }

  /** Notes an answer; `ageMilliseconds` is the age at which it was passed on. */
  confirm(asked: QuestionTime, ageMilliseconds = 0): void {
    const askedAt = asked.steady - ageMilliseconds;
    if (!this.isSuspended() && askedAt <= (this.#proof?.askedAt ?? -Infinity)) {
      return;
    }
    if (this.#isApart(asked.steady, asked.wall)) {
      return;
    }
    this.#proof = { askedAt, wallAskedAt: asked.wall - ageMilliseconds };
  }

  /** The age in milliseconds; infinite without a proof. */
  computeAge(): number {
    if (this.#proof === undefined || this.isSuspended()) {
      return Infinity;
    }
    return this.#clock.now() - this.#proof.askedAt;
  }

  /** Whether the VM may have been suspended since the last proof. */
  isSuspended(): boolean {
    const proof = this.#proof;
    return proof !== undefined &&
      this.#isApart(proof.askedAt, proof.wallAskedAt);
  }

  #isApart(steady: number, wall: number): boolean {
    const passed = this.#clock.now() - steady;
    const wallPassed = this.#clock.wallTime() - wall;
    return Math.abs(wallPassed - passed) > SUSPENSION_MILLISECONDS;
  }
}
