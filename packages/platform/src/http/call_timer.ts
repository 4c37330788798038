/** Ends a call at its time limit or when its owner gives it up. */

import type { Clock } from "@rattanvane/base";
import { addAbortListener } from "./abort_listener.ts";

/** A signal that aborts with its owner's, or when time is up. */
export class CallTimer {
  readonly #controller = new AbortController();
  readonly #clock: Clock;
  readonly #stopListening: () => void;
  #timer = new AbortController();
  #expired = false;

  constructor(clock: Clock, owner: AbortSignal) {
    this.#clock = clock;
    // Taken away in `stop`: the owner's signal may outlive many calls.
    this.#stopListening = addAbortListener(
      owner,
      () => this.#controller.abort(),
    );
    if (owner.aborted) {
      this.#controller.abort();
    }
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the time limit, and not the owner, ended the call. */
  get expired(): boolean {
    return this.#expired;
  }

  /** Sets the time limit, replacing an earlier one. */
  startLimit(milliseconds: number): void {
    this.stopLimit();
    const timer = new AbortController();
    this.#timer = timer;
    void this.#expireAfter(milliseconds, timer.signal);
  }

  /** Takes the time limit away. */
  stopLimit(): void {
    this.#timer.abort();
  }

  /** Ends the call at once, as when its time is up. */
  expire(): void {
    if (this.signal.aborted) {
      return;
    }
    this.#expired = true;
    this.#controller.abort();
  }

  /** Lets go of the owner's signal and the timer. */
  stop(): void {
    this.stopLimit();
    this.#stopListening();
  }

  async #expireAfter(milliseconds: number, timer: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, timer);
    if (!timer.aborted) {
      this.expire();
    }
  }
}
