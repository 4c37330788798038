/** Limits the processor time that small pieces of callers' bodies take. */

import type { Clock } from "@rattanvane/base";

/** Reading a longer piece takes little time in proportion to its length. */
const SMALL_PIECE_BYTES = 512;
const MILLISECONDS_PER_SECOND = 1_000;
const MIN_PAUSE_MILLISECONDS = 10;

/** A reader that can be held up. */
export interface PacedReader {
  pause(): void;
  resume(): void;
}

/** Settings and dependencies of a {@link PiecePace}. */
export interface PiecePaceOptions {
  /** Small pieces that are read in a second, and at once; of all callers. */
  piecesPerSecond: number;
  clock: Clock;
}

/**
 * The pace of all small pieces that a VM reads. The HTTP parser reports each
 * chunk of a body by itself, so that a body in chunks of one byte takes as much
 * time as one that is thousands of times as long. Readers that are ahead are
 * paused, and resumed one after the other.
 *
 * Load: many bodies in chunks of a few bytes, sent as fast as they are read,
 * beside callers whose chunks are long.
 */
export class PiecePace {
  readonly #options: PiecePaceOptions;
  readonly #paused = new Set<PacedReader>();
  #allowed: number;
  #updatedAt: number;
  #isWaiting = false;
  /** Aborted until the pace is started. */
  #signal = AbortSignal.abort();

  constructor(options: PiecePaceOptions) {
    this.#options = options;
    this.#allowed = options.piecesPerSecond;
    this.#updatedAt = options.clock.now();
  }

  /** The number of readers that are held up. */
  get paused(): number {
    return this.#paused.size;
  }

  /** Resumes readers that are held up until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#signal = signal;
  }

  /** Counts a piece that a reader has read, and may pause the reader. */
  recordPiece(reader: PacedReader, bytes: number): void {
    if (bytes >= SMALL_PIECE_BYTES) {
      return;
    }
    this.#allowed--;
    if (this.#allowed >= 0 || this.#paused.has(reader)) {
      return;
    }
    // While others wait, what is allowed anew is theirs.
    if (this.#paused.size === 0) {
      this.#refill();
    }
    if (this.#allowed < 0) {
      this.#paused.add(reader);
      reader.pause();
      void this.#run();
    }
  }

  /** Forgets a reader that has ended; it is not resumed. */
  remove(reader: PacedReader): void {
    this.#paused.delete(reader);
  }

  async #run(): Promise<void> {
    if (this.#isWaiting) {
      return;
    }
    this.#isWaiting = true;
    while (this.#paused.size > 0 && !this.#signal.aborted) {
      await this.#options.clock.sleep(this.#computePause(), this.#signal);
      this.#refill();
      const [next] = this.#paused;
      if (next !== undefined && this.#allowed >= 0) {
        this.#paused.delete(next);
        next.resume();
      }
    }
    this.#isWaiting = false;
  }

  #computePause(): number {
    const milliseconds = -this.#allowed * MILLISECONDS_PER_SECOND /
      this.#options.piecesPerSecond;
    return Math.max(MIN_PAUSE_MILLISECONDS, Math.ceil(milliseconds));
  }

  /** A debt of more than a second is forgiven. */
  #refill(): void {
    const { clock, piecesPerSecond } = this.#options;
    const now = clock.now();
    const elapsed = (now - this.#updatedAt) / MILLISECONDS_PER_SECOND;
    this.#updatedAt = now;
    this.#allowed = Math.min(
      piecesPerSecond,
      Math.max(-piecesPerSecond, this.#allowed) + elapsed * piecesPerSecond,
    );
  }
}
