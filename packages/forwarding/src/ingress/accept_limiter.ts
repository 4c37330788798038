/** Limits the connections that a VM accepts while its process is overloaded. */

import type { Clock, Logger } from "@rattanvane/base";

/**
 * A request takes several turns of the event loop until it is answered: its
 * connection, its body and the scheduler's reply come in different ones.
 */
const LONG_TURN_MILLISECONDS = 100;
const SHORT_TURN_MILLISECONDS = 50;
/** A single long turn may be due to garbage collection or to a suspension. */
const LONG_TURNS_UNTIL_LIMIT = 2;
const WINDOW_MILLISECONDS = 100;
const MIN_CONNECTIONS = 4;
/** The limit is lifted after this many windows in which it was not reached. */
const IDLE_WINDOWS_UNTIL_LIFTED = 5;
/** Bounds of the change of the limit from one window to the next. */
const MIN_DECREASE_FACTOR = 0.25;
const INCREASE_FACTOR = 1.1;
const INCREASE_CONNECTIONS = 2;

/** The monotonic times of one turn's start and end, in milliseconds. */
export interface EventLoopTurn {
  startedAt: number;
  endedAt: number;
}

/** Dependencies of an {@link AcceptLimiter}. */
export interface AcceptLimiterOptions {
  clock: Clock;
  logger: Logger;
  /** Sets how many more connections are accepted; infinite for no limit. */
  setAllowance: (connections: number) => void;
}

/**
 * Without a limit, a process that gets more connections than it can serve
 * accepts all of them and answers each too late. With one, callers that are not
 * accepted see a closed connection at once and come back to another VM. The
 * limit follows the length of the event loop's turns.
 *
 * Load: more new connections at one VM than its processor can serve, as when
 * one organisation's callers all reach the same VM.
 */
export class AcceptLimiter {
  readonly #options: AcceptLimiterOptions;
  #limit = Infinity;
  #lastTurnEndedAt = -Infinity;
  #longestTurn = 0;
  #longTurns = 0;
  #acceptedSinceTurn = 0;
  #dropped = 0;

  constructor(options: AcceptLimiterOptions) {
    this.#options = options;
  }

  /** Connections that are accepted in a window; infinite without a limit. */
  get limit(): number {
    return this.#limit;
  }

  /** Records a connection that was accepted. */
  recordAccepted(): void {
    this.#acceptedSinceTurn++;
  }

  /** Records a connection that was closed instead of being accepted. */
  recordDropped(): void {
    this.#dropped++;
  }

  /**
   * Records a turn of the event loop that had work, by the monotonic times of
   * its start and end. Turns that overlap the last recorded one are the same
   * turn. The limit is adapted until it is lifted or the signal aborts.
   */
  recordTurn(
    { startedAt, endedAt }: EventLoopTurn,
    signal: AbortSignal,
  ): void {
    if (startedAt < this.#lastTurnEndedAt) {
      return;
    }
    this.#lastTurnEndedAt = endedAt;
    const milliseconds = endedAt - startedAt;
    const accepted = this.#acceptedSinceTurn;
    this.#acceptedSinceTurn = 0;
    this.#longestTurn = Math.max(this.#longestTurn, milliseconds);
    this.#longTurns = milliseconds >= LONG_TURN_MILLISECONDS
      ? this.#longTurns + 1
      : 0;
    const isLimitDue = this.#longTurns >= LONG_TURNS_UNTIL_LIMIT &&
      !Number.isFinite(this.#limit);
    if (isLimitDue) {
      this.#limit = Math.max(
        MIN_CONNECTIONS,
        accepted * WINDOW_MILLISECONDS / milliseconds *
          computeDecreaseFactor(milliseconds),
      );
      this.#options.logger.warn(
        "the event loop is behind; limits connections",
        {
          turnMilliseconds: Math.round(milliseconds),
          limit: Math.floor(this.#limit),
        },
      );
      void this.#runWindows(signal);
    }
  }

  async #runWindows(signal: AbortSignal): Promise<void> {
    const { clock, logger, setAllowance } = this.#options;
    const startedAt = clock.now();
    let idleWindows = 0;
    while (idleWindows < IDLE_WINDOWS_UNTIL_LIFTED && !signal.aborted) {
      const droppedBefore = this.#dropped;
      this.#longestTurn = 0;
      setAllowance(Math.floor(this.#limit));
      await clock.sleep(WINDOW_MILLISECONDS, signal);
      this.#adaptLimit();
      const isReached = this.#dropped > droppedBefore ||
        this.#longestTurn >= LONG_TURN_MILLISECONDS;
      idleWindows = isReached ? 0 : idleWindows + 1;
    }
    this.#limit = Infinity;
    setAllowance(Infinity);
    logger.info("accepts all connections again", {
      dropped: this.#dropped,
      limitedMilliseconds: Math.round(clock.now() - startedAt),
    });
    this.#dropped = 0;
  }

  #adaptLimit(): void {
    if (this.#longestTurn >= LONG_TURN_MILLISECONDS) {
      this.#limit = Math.max(
        MIN_CONNECTIONS,
        this.#limit * computeDecreaseFactor(this.#longestTurn),
      );
    } else if (this.#longestTurn < SHORT_TURN_MILLISECONDS) {
      this.#limit = this.#limit * INCREASE_FACTOR + INCREASE_CONNECTIONS;
    }
  }
}

/** The longer a turn was, the fewer connections fit into a short one. */
function computeDecreaseFactor(turnMilliseconds: number): number {
  return Math.max(
    MIN_DECREASE_FACTOR,
    SHORT_TURN_MILLISECONDS / turnMilliseconds,
  );
}
