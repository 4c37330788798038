/** Sums and counts over a sliding time window. */

import type { Clock } from "@rattanvane/base";

const BUCKET_COUNT = 20;

/** A sum over a window that slides in steps of one twentieth of its length. */
export class SlidingSum {
  readonly #clock: Clock;
  readonly #bucketMilliseconds: number;
  readonly #buckets = new Array<number>(BUCKET_COUNT).fill(0);
  #newestBucket: number;
  #sum = 0;

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#bucketMilliseconds = windowMilliseconds / BUCKET_COUNT;
    this.#newestBucket = this.#computeBucket();
  }

  /** Adds an amount at the current time. */
  add(amount: number): void {
    this.#evictExpired();
    const index = this.#newestBucket % BUCKET_COUNT;
    this.#buckets[index] = (this.#buckets[index] ?? 0) + amount;
    this.#sum += amount;
  }

  /** The sum of the amounts in the window. */
  get sum(): number {
    this.#evictExpired();
    return this.#sum;
  }

  #computeBucket(): number {
    return Math.floor(this.#clock.now() / this.#bucketMilliseconds);
  }

  #evictExpired(): void {
    const current = this.#computeBucket();
    const steps = Math.min(BUCKET_COUNT, current - this.#newestBucket);
    for (let step = 1; step <= steps; step++) {
      const index = (this.#newestBucket + step) % BUCKET_COUNT;
      this.#sum -= this.#buckets[index] ?? 0;
      this.#buckets[index] = 0;
    }
    if (steps === BUCKET_COUNT) {
      this.#sum = 0;
    }
    this.#newestBucket = current;
  }
}

/** A log of event times, which counts exactly the events in any window. */
export class SlidingLog {
  readonly #clock: Clock;
  readonly #windowMilliseconds: number;
  #times: number[] = [];

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#windowMilliseconds = windowMilliseconds;
  }

  /** Records an event at the current time. */
  add(): void {
    this.#times.push(this.#clock.now());
  }

  /** Counts the events in the window that ends now. */
  count(): number {
    const oldest = this.#clock.now() - this.#windowMilliseconds;
    while (this.#times.length > 0 && (this.#times[0] as number) <= oldest) {
      this.#times.shift();
    }
    return this.#times.length;
  }
}
