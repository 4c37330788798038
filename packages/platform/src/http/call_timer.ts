/** Ends a call at its time limit or when its owner cancels it. */

import type { Clock } from "@rattanvane/base";
import { addAbortListener } from "./abort_listener.ts";

/** A signal that aborts with its owner's signal or at the time limit. */
export class CallTimer {
  readonly #controller = new AbortController();
  readonly #clock: Clock;
  readonly #removeAbortListener: () => void;
  #timer = new AbortController();
  #expired = false;

  constructor(clock: Clock, owner: AbortSignal) {
    this.#clock = clock;
    // Removed in `stop`, because the owner's signal may outlive many calls.
    this.#removeAbortListener = addAbortListener(
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

  /** Sets the time limit, replacing any earlier one. */
  startLimit(milliseconds: number): void {
    this.stopLimit();
    const timer = new AbortController();
    this.#timer = timer;
    void this.#expireAfter(milliseconds, timer.signal);
  }

  /** Removes the time limit. */
  stopLimit(): void {
    this.#timer.abort();
  }

  /** Ends the call at once, as if its time limit had passed. */
  expire(): void {
    if (this.signal.aborted) {
      return;
    }
    this.#expired = true;
    this.#controller.abort();
  }

  /** Removes the listener from the owner's signal and stops the timer. */
  stop(): void {
    this.stopLimit();
    this.#removeAbortListener();
  }

  async #expireAfter(milliseconds: number, timer: AbortSignal): Promise<void> {
    await this.#clock.sleep(milliseconds, timer);
    if (!timer.aborted) {
      this.expire();
    }
  }
}
