/** Tells whether connections have waited to be accepted for too long. */

import { setImmediate as waitForTurn } from "node:timers/promises";
import type { Clock } from "@rattanvane/base";

/** Connections that wait for longer than this are a standing queue. */
const MAX_WAIT_MILLISECONDS = 100;

/**
 * Watches the turns of the event loop, each of which accepts one connection at
 * most. Connections have waited since the first of the turns in a row that each
 * accepted one.
 *
 * Load: more new connections than the VM's processor can serve.
 */
export class AcceptQueueMonitor {
  readonly #clock: Clock;
  /** The start of the turns in a row; undefined if the last accepted none. */
  #waitingSince: number | undefined;
  #hasAccepted = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the current turn has accepted a connection. */
  recordConnection(): void {
    this.#hasAccepted = true;
    if (this.#waitingSince === undefined) {
      this.#waitingSince = this.#clock.now();
      void this.#watchTurns();
    }
  }

  /** Whether the connection that was recorded last may be served. */
  mayServe(): boolean {
    return !this.isOverloaded;
  }

  /** Whether connections wait for too long. */
  get isOverloaded(): boolean {
    return this.#waitingSince !== undefined &&
      this.#clock.now() - this.#waitingSince > MAX_WAIT_MILLISECONDS;
  }

  async #watchTurns(): Promise<void> {
    // The rest of the turn that accepted the first one.
    await waitForTurn();
    while (this.#hasAccepted) {
      this.#hasAccepted = false;
      await waitForTurn();
    }
    this.#waitingSince = undefined;
  }
}
