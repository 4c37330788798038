/** Age of replicated data since it was last confirmed to be current. */

import type { Clock } from "@rattanvane/base";

/** A larger divergence of the two clocks means that the VM was suspended. */
const SUSPENSION_THRESHOLD_MILLISECONDS = 500;

interface Confirmation {
  sentAt: number;
  wallSentAt: number;
}

/** Both clocks read at one moment, in milliseconds. */
export interface ClockReading {
  steady: number;
  wall: number;
}

/**
 * Measures the age of data from when the request was sent whose response
 * confirmed it. The steady clock stops while the VM is suspended and the wall
 * clock does not, so a divergence of the two invalidates the confirmation.
 */
export class Freshness {
  readonly #clock: Clock;
  #confirmation: Confirmation | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Reads both clocks; call it just before a request is sent. */
  readClocks(): ClockReading {
    return { steady: this.#clock.now(), wall: this.#clock.wallTime() };
  }

  /**
   * Records that the response to a request sent at `sent` confirmed the data.
   * `ageMilliseconds` is the age that the responder itself reported. Has no
   * effect when a newer confirmation is still valid, or when the VM may have
   * been suspended since the request.
   */
  confirm(sent: ClockReading, ageMilliseconds = 0): void {
    const sentAt = sent.steady - ageMilliseconds;
    if (
      !this.mayHaveBeenSuspended() &&
      sentAt <= (this.#confirmation?.sentAt ?? -Infinity)
    ) {
      return;
    }
    if (this.#haveClocksDiverged(sent.steady, sent.wall)) {
      return;
    }
    this.#confirmation = {
      sentAt,
      wallSentAt: sent.wall - ageMilliseconds,
    };
  }

  /** Returns the age in milliseconds; infinite without a valid confirmation. */
  computeAge(): number {
    if (this.#confirmation === undefined || this.mayHaveBeenSuspended()) {
      return Infinity;
    }
    return this.#clock.now() - this.#confirmation.sentAt;
  }

  /** Whether the VM may have been suspended since the last confirmation. */
  mayHaveBeenSuspended(): boolean {
    const confirmation = this.#confirmation;
    return confirmation !== undefined &&
      this.#haveClocksDiverged(confirmation.sentAt, confirmation.wallSentAt);
  }

  #haveClocksDiverged(steady: number, wall: number): boolean {
    const steadyElapsed = this.#clock.now() - steady;
    const wallElapsed = this.#clock.wallTime() - wall;
    return Math.abs(wallElapsed - steadyElapsed) >
      SUSPENSION_THRESHOLD_MILLISECONDS;
  }
}
