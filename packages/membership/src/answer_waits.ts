/** Waits for the answers to probes. */

import type { Clock } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";

/** How a wait ended. */
export enum WaitOutcome {
  Answered = "answered",
  TimedOut = "timedOut",
  /** This process was paused meanwhile; silence says nothing of the target. */
  Paused = "paused",
  /** Membership has ended. */
  Closed = "closed",
}

/** A timer that is later than this means that the process was paused. */
const PAUSE_TOLERANCE_MILLISECONDS = 100;

/** One probe that is waiting for its answer. */
export class AnswerWait {
  readonly sequence: number;
  readonly target: VmId;
  readonly #clock: Clock;
  readonly #settled = new AbortController();
  #outcome = WaitOutcome.TimedOut;

  constructor(sequence: number, target: VmId, options: { clock: Clock }) {
    this.sequence = sequence;
    this.target = target;
    this.#clock = options.clock;
  }

  /** Ends the wait; only the first outcome counts. */
  settle(outcome: WaitOutcome): void {
    if (!this.#settled.signal.aborted) {
      this.#outcome = outcome;
      this.#settled.abort();
    }
  }

  /** Waits for the answer; may be called again for the same probe. */
  async wait(milliseconds: number): Promise<WaitOutcome> {
    const startedAt = this.#clock.now();
    await this.#clock.sleep(milliseconds, this.#settled.signal);
    if (this.#settled.signal.aborted) {
      return this.#outcome;
    }
    const late = this.#clock.now() - startedAt - milliseconds;
    return late > PAUSE_TOLERANCE_MILLISECONDS
      ? WaitOutcome.Paused
      : WaitOutcome.TimedOut;
  }
}

/** The probes that are waiting for their answers. */
export class AnswerWaits {
  readonly #clock: Clock;
  readonly #waits = new Map<number, AnswerWait>();
  #lastSequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts a wait under a new sequence number. */
  open(target: VmId): AnswerWait {
    this.#lastSequence++;
    const wait = new AnswerWait(this.#lastSequence, target, {
      clock: this.#clock,
    });
    this.#waits.set(wait.sequence, wait);
    return wait;
  }

  /** Takes an answer; one of another VM or of an ended wait is ignored. */
  answer(sequence: number, target: VmId): void {
    const wait = this.#waits.get(sequence);
    if (wait?.target === target) {
      wait.settle(WaitOutcome.Answered);
    }
  }

  /** Ends a wait whose answer no longer matters. */
  close(wait: AnswerWait): void {
    this.#waits.delete(wait.sequence);
    wait.settle(WaitOutcome.Closed);
  }

  /** Ends all waits. */
  closeAll(): void {
    for (const wait of [...this.#waits.values()]) {
      this.close(wait);
    }
  }
}
