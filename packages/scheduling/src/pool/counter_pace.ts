/** When counters are sent: a budget of bytes, and signs of life between. */

/** What all counters of one scheduler may send, in the long run. */
export const COUNTER_BYTES_A_SECOND = 3500;

/** Two signs of life may be lost before a sibling is taken for cut off. */
const SIGNS_A_TIMEOUT = 3;

/** What a link adds to each message: a header and a seal. */
const FRAME_BYTES = 20;

const MILLISECONDS_PER_SECOND = 1000;

/** What a pace is set by; times in milliseconds. */
export interface CounterPaceSettings {
  /** The shortest time between two messages that carry totals. */
  counterPeriodMilliseconds: number;
  /** A sibling that was silent for so long was cut off. */
  siblingTimeoutMilliseconds: number;
}

/** Stretches the period of counters with what the last ones weighed. */
export class CounterPace {
  #sentAt = -Infinity;
  #paidAt = -Infinity;

  /** How long nothing has been sent, in milliseconds. */
  computeAge(now: number): number {
    return now - this.#sentAt;
  }

  /** Whether what was sent so far is within the budget. */
  isWithinBudget(now: number): boolean {
    return now >= this.#paidAt;
  }

  /** Whether news that can wait may be sent. */
  isDue(now: number, settings: CounterPaceSettings): boolean {
    return this.isWithinBudget(now) &&
      this.computeAge(now) >= settings.counterPeriodMilliseconds;
  }

  /** How long siblings can still do without a sign of life. */
  computeRest(now: number, settings: CounterPaceSettings): number {
    return computeSignPeriod(settings) - this.computeAge(now);
  }

  /** Charges all copies of a message of so many bytes against the budget. */
  recordSent(now: number, sent: { bytes: number; copies: number }): void {
    const bytes = (sent.bytes + FRAME_BYTES) * sent.copies;
    const cost = bytes * MILLISECONDS_PER_SECOND / COUNTER_BYTES_A_SECOND;
    this.#sentAt = now;
    this.#paidAt = Math.max(this.#paidAt, now) + cost;
  }
}

/** Computes the longest time between two messages, in milliseconds. */
export function computeSignPeriod(settings: CounterPaceSettings): number {
  return Math.floor(settings.siblingTimeoutMilliseconds / SIGNS_A_TIMEOUT);
}
