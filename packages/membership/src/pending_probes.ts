/** Probes that are waiting for their replies. */

import type { Clock } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";

/** The result of waiting for a probe's reply. */
export enum ProbeOutcome {
  Answered = "answered",
  TimedOut = "timedOut",
  /**
   * This process was paused during the wait, so the missing reply is no
   * evidence that the target failed.
   */
  Paused = "paused",
  /** The probe was removed, for instance because membership has stopped. */
  Closed = "closed",
}

/** A timer that fires later than this indicates that the process was paused. */
const PAUSE_TOLERANCE_MILLISECONDS = 100;

/** A probe whose reply is awaited. */
export class PendingProbe {
  readonly sequence: number;
  readonly target: VmId;
  readonly #clock: Clock;
  readonly #settled = new AbortController();
  #outcome = ProbeOutcome.TimedOut;

  constructor(sequence: number, target: VmId, options: { clock: Clock }) {
    this.sequence = sequence;
    this.target = target;
    this.#clock = options.clock;
  }

  /** Ends the wait with this outcome; calls after the first have no effect. */
  settle(outcome: ProbeOutcome): void {
    if (!this.#settled.signal.aborted) {
      this.#outcome = outcome;
      this.#settled.abort();
    }
  }

  /**
   * Waits up to this many milliseconds for the reply; may be called again for
   * the same probe after a timeout.
   */
  async wait(milliseconds: number): Promise<ProbeOutcome> {
    const startedAt = this.#clock.now();
    await this.#clock.sleep(milliseconds, this.#settled.signal);
    if (this.#settled.signal.aborted) {
      return this.#outcome;
    }
    const delay = this.#clock.now() - startedAt - milliseconds;
    return delay > PAUSE_TOLERANCE_MILLISECONDS
      ? ProbeOutcome.Paused
      : ProbeOutcome.TimedOut;
  }
}

/** Tracks pending probes by sequence number. */
export class PendingProbes {
  readonly #clock: Clock;
  readonly #probes = new Map<number, PendingProbe>();
  #lastSequence = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts tracking a probe under a new sequence number. */
  start(target: VmId): PendingProbe {
    this.#lastSequence++;
    const probe = new PendingProbe(this.#lastSequence, target, {
      clock: this.#clock,
    });
    this.#probes.set(probe.sequence, probe);
    return probe;
  }

  /**
   * Completes the probe that a reply belongs to. Replies from a VM other than
   * the target and replies to probes that are no longer pending are ignored.
   */
  acknowledge(sequence: number, target: VmId): void {
    const probe = this.#probes.get(sequence);
    if (probe?.target === target) {
      probe.settle(ProbeOutcome.Answered);
    }
  }

  /** Removes a probe whose reply no longer matters and ends its wait. */
  remove(probe: PendingProbe): void {
    this.#probes.delete(probe.sequence);
    probe.settle(ProbeOutcome.Closed);
  }

  /** Removes all probes and ends their waits. */
  removeAll(): void {
    for (const probe of [...this.#probes.values()]) {
      this.remove(probe);
    }
  }
}
