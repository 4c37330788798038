/** Runs a second attempt of a request beside a slow first one. */

import { ChildAbort, type Clock, Deferred } from "@rattanvane/base";
import { type AttemptGrant, UNUSED_REPORT } from "../../admission/admission.ts";
import {
  type AttemptOutcome,
  OutcomeKind,
} from "../../model/attempt_outcome.ts";

/** One of the two attempts. */
export interface RaceLane {
  grant: AttemptGrant;
  /** Whether it is the second attempt. */
  isHedge: boolean;
  /** Aborts when the other attempt answers the caller. */
  signal: AbortSignal;
  /** Records that the first byte of the answer has arrived. */
  recordAnswerStart: () => void;
  /**
   * Asked before the first event of a stream is passed on: whether this attempt
   * answers the caller. The other one is cancelled then.
   */
  claimAnswer: () => boolean;
}

/** An attempt that has ended, with its outcome. */
export interface FinishedAttempt {
  grant: AttemptGrant;
  outcome: AttemptOutcome;
}

/** Dependencies and callbacks of a {@link HedgedRace}. */
export interface HedgedRaceOptions {
  clock: Clock;
  /** How long to wait for the first byte before the second attempt. */
  delayMilliseconds: number;
  runAttempt: (lane: RaceLane) => Promise<AttemptOutcome>;
  /** Finds an endpoint for the second attempt; undefined for none. */
  findHedge: (
    state: { isAnswering: () => boolean },
    signal: AbortSignal,
  ) => Promise<AttemptGrant | undefined>;
  /** Called for an attempt that failed while the other one went on. */
  onFailure: (attempt: FinishedAttempt) => void;
  /** Called for an attempt that was cancelled since the other one answered. */
  onCancelled: (lane: RaceLane) => void;
}

interface RunningLane extends RaceLane {
  abort: ChildAbort;
}

/**
 * The first attempt that answers wins, and the other one is cancelled. If one
 * fails, the other goes on in its place.
 */
export class HedgedRace {
  readonly #options: HedgedRaceOptions;
  readonly #result = new Deferred<FinishedAttempt>();
  readonly #running = new Set<RunningLane>();
  #winner: RunningLane | undefined;
  #isAnswering = false;

  constructor(options: HedgedRaceOptions) {
    this.#options = options;
  }

  /** Runs the first attempt, and a second one if it is slow. */
  async run(
    grant: AttemptGrant,
    signal: AbortSignal,
  ): Promise<FinishedAttempt> {
    const wait = new ChildAbort(signal);
    const first = this.#runLane({ grant, isHedge: false }, signal);
    const hedge = this.#hedgeWhenSlow(wait.signal, signal);
    try {
      // Either of them only settles first by an error.
      return await Promise.race([
        this.#result.promise,
        Promise.all([first, hedge]).then(() => this.#result.promise),
      ]);
    } finally {
      wait.abort();
    }
  }

  async #hedgeWhenSlow(
    wait: AbortSignal,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, delayMilliseconds, findHedge } = this.#options;
    await clock.sleep(delayMilliseconds, wait);
    // After this VM was busy, timers run before an answer that has arrived.
    await new Promise((resolve) => setImmediate(resolve));
    if (wait.aborted) {
      return;
    }
    const isAnswering = () => this.#isAnswering;
    const grant = await findHedge({ isAnswering }, wait);
    if (grant !== undefined && wait.aborted) {
      grant.recordEnd(UNUSED_REPORT);
    } else if (grant !== undefined) {
      await this.#runLane({ grant, isHedge: true }, signal);
    }
  }

  async #runLane(
    { grant, isHedge }: { grant: AttemptGrant; isHedge: boolean },
    signal: AbortSignal,
  ): Promise<void> {
    const abort = new ChildAbort(signal);
    const lane: RunningLane = {
      grant,
      isHedge,
      abort,
      signal: abort.signal,
      recordAnswerStart: () => this.#isAnswering = true,
      claimAnswer: () => this.#claim(lane),
    };
    this.#running.add(lane);
    try {
      this.#handleEnd(lane, await this.#options.runAttempt(lane));
    } finally {
      abort.abort();
    }
  }

  #claim(lane: RunningLane): boolean {
    this.#winner ??= lane;
    if (this.#winner !== lane) {
      return false;
    }
    for (const other of this.#running) {
      if (other !== lane) {
        other.abort.abort();
      }
    }
    return true;
  }

  #handleEnd(lane: RunningLane, outcome: AttemptOutcome): void {
    this.#running.delete(lane);
    const { grant } = lane;
    if (this.#winner !== undefined && this.#winner !== lane) {
      this.#options.onCancelled(lane);
      return;
    }
    const isFinal = outcome.kind === OutcomeKind.Answered ||
      this.#winner === lane || this.#running.size === 0;
    if (isFinal) {
      this.#claim(lane);
      this.#result.resolve({ grant, outcome });
      return;
    }
    this.#options.onFailure({ grant, outcome });
  }
}
