/** Limits the work that one answer causes in a time. */

import type { Clock } from "@rattanvane/base";

/** What an answer may deliver at once, and in each second. */
const BURST_BYTES = 8 * 1024 * 1024;
const BYTES_PER_SECOND = 8 * 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1_000;
/** Counted for each piece beside its length, since each takes time of its own. */
const PIECE_BYTES = 512;
const MIN_PAUSE_MILLISECONDS = 10;

/**
 * The pace of one answer. Nobody limits the length of a stream or the number of
 * pieces that an answer arrives in, and an endpoint that sends faster than any
 * caller reads would leave no time for other requests.
 */
export class AnswerPace {
  readonly #clock: Clock;
  #allowedBytes = BURST_BYTES;
  #updatedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** Whether the answer is ahead of its pace. */
  get isExceeded(): boolean {
    return this.#allowedBytes < 0;
  }

  /** Counts pieces of the answer with their total length. */
  recordPieces(count: number, bytes: number): void {
    this.#allowedBytes -= bytes + count * PIECE_BYTES;
    if (this.isExceeded) {
      this.#refill();
    }
  }

  /** How long to wait until the answer is no longer ahead of its pace. */
  computePause(): number {
    const milliseconds = -this.#allowedBytes * MILLISECONDS_PER_SECOND /
      BYTES_PER_SECOND;
    return Math.max(MIN_PAUSE_MILLISECONDS, Math.ceil(milliseconds));
  }

  #refill(): void {
    const now = this.#clock.now();
    const elapsed = (now - this.#updatedAt) / MILLISECONDS_PER_SECOND;
    this.#updatedAt = now;
    this.#allowedBytes = Math.min(
      BURST_BYTES,
      this.#allowedBytes + elapsed * BYTES_PER_SECOND,
    );
  }
}
