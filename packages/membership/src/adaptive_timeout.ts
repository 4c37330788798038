/** Reply timeouts that adapt to the reply times of recent probes. */

const LATE_REPLY_FACTOR = 1.5;
const TIMELY_REPLY_FACTOR = 0.95;
const MAXIMUM_FACTOR = 3;

/**
 * Scales timeouts up while replies arrive late. Late replies indicate that the
 * zone or this VM is overloaded, and suspicions would only add to that load.
 */
export class AdaptiveTimeout {
  #factor = 1;

  /** Records a reply to the direct probe that arrived before its timeout. */
  recordTimelyReply(): void {
    this.#factor = Math.max(1, this.#factor * TIMELY_REPLY_FACTOR);
  }

  /** Records a reply that arrived only after the direct probe had timed out. */
  recordLateReply(): void {
    this.#factor = Math.min(MAXIMUM_FACTOR, this.#factor * LATE_REPLY_FACTOR);
  }

  /** Scales a timeout in milliseconds by the current factor. */
  computeMilliseconds(milliseconds: number): number {
    return milliseconds * this.#factor;
  }
}
