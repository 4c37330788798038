/** Tells whether connections have waited to be accepted for too long. */

import { setImmediate as waitForTurn } from "node:timers/promises";
import type { Clock } from "@rattanvane/base";

/** Connections that wait for longer than this are a standing queue. */
const MAX_WAIT_MILLISECONDS = 100;
/** While they do, one connection of this many is served. */
const CONNECTIONS_PER_SERVED = 8;

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
  /** Connections since the last one that was served. */
  #refusedInRow = 0;
  /** Connections that were accepted since {@link #waitingSince}. */
  #acceptedInRow = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the current turn has accepted a connection. */
  recordConnection(): void {
    this.#hasAccepted = true;
    this.#acceptedInRow++;
    if (this.#waitingSince === undefined) {
      this.#waitingSince = this.#clock.now();
      void this.#watchTurns();
    }
  }

  /**
   * Whether the connection that was recorded last may be served. While
   * connections wait, a part of them is served, so that callers without a kept
   * connection have a part of the processor too: the less of it, the longer the
   * turns of the event loop are.
   */
  mayServe(): boolean {
    this.#refusedInRow++;
    const mayServe = !this.isOverloaded ||
      this.#refusedInRow >= CONNECTIONS_PER_SERVED;
    this.#refusedInRow = mayServe ? 0 : this.#refusedInRow;
    return mayServe;
  }

  /** Whether connections wait for too long. */
  get isOverloaded(): boolean {
    return this.standingMilliseconds > MAX_WAIT_MILLISECONDS;
  }

  /** How long each turn has accepted a connection; 0 if the last did not. */
  get standingMilliseconds(): number {
    return this.#waitingSince === undefined
      ? 0
      : this.#clock.now() - this.#waitingSince;
  }

  /** Connections that were accepted in these turns. */
  get acceptedInRow(): number {
    return this.#acceptedInRow;
  }

  async #watchTurns(): Promise<void> {
    // The rest of the turn that accepted the first one.
    await waitForTurn();
    while (this.#hasAccepted) {
      this.#hasAccepted = false;
      await waitForTurn();
    }
    this.#waitingSince = undefined;
    this.#acceptedInRow = 0;
  }
}
