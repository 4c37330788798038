/** Schedules counter messages: a byte budget, with heartbeats in between. */

/** Long-run limit on one scheduler's counter traffic to all its siblings. */
export const COUNTER_BYTES_PER_SECOND = 3500;

/** Two consecutive heartbeats may be lost before a sibling times out. */
const HEARTBEATS_PER_TIMEOUT = 3;

/** Bytes that a link adds to a message: a header and an authentication tag. */
const FRAME_OVERHEAD_BYTES = 20;

const MILLISECONDS_PER_SECOND = 1000;

/** Settings of a counter schedule; times in milliseconds. */
export interface CounterSendSettings {
  /** The shortest time between two messages that carry totals. */
  counterPeriodMilliseconds: number;
  /** A sibling from which nothing arrives for this long counts as cut off. */
  siblingTimeoutMilliseconds: number;
}

/** Delays counter messages in proportion to the bytes sent before. */
export class CounterSendSchedule {
  #sentAt = -Infinity;
  #budgetAvailableAt = -Infinity;

  /** Returns the time since the last message of any kind, in milliseconds. */
  computeTimeSinceSent(now: number): number {
    return now - this.#sentAt;
  }

  /** Whether all traffic so far is covered by the byte budget. */
  isWithinBudget(now: number): boolean {
    return now >= this.#budgetAvailableAt;
  }

  /** Whether changes that are not urgent may be sent. */
  isDue(now: number, settings: CounterSendSettings): boolean {
    return this.isWithinBudget(now) &&
      this.computeTimeSinceSent(now) >= settings.counterPeriodMilliseconds;
  }

  /** Returns the milliseconds until a heartbeat is due; negative if overdue. */
  computeTimeToHeartbeat(now: number, settings: CounterSendSettings): number {
    return computeHeartbeatPeriod(settings) - this.computeTimeSinceSent(now);
  }

  /** Charges every copy of a message of the given size against the budget. */
  recordSent(now: number, sent: { bytes: number; copies: number }): void {
    const bytes = (sent.bytes + FRAME_OVERHEAD_BYTES) * sent.copies;
    const cost = bytes * MILLISECONDS_PER_SECOND / COUNTER_BYTES_PER_SECOND;
    this.#sentAt = now;
    this.#budgetAvailableAt = Math.max(this.#budgetAvailableAt, now) + cost;
  }
}

/** Computes the longest time between two messages, in milliseconds. */
export function computeHeartbeatPeriod(settings: CounterSendSettings): number {
  return Math.floor(
    settings.siblingTimeoutMilliseconds / HEARTBEATS_PER_TIMEOUT,
  );
}
