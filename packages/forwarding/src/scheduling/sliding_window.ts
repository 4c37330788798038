/** Sums over the newest stretch of time. */

import type { Clock } from "@rattanvane/base";

const BUCKETS = 20;

/** A sum over a window that slides in steps of a twentieth. */
export class SlidingSum {
  readonly #clock: Clock;
  readonly #bucketMilliseconds: number;
  readonly #buckets = new Array<number>(BUCKETS).fill(0);
  #newest: number;
  #sum = 0;

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#bucketMilliseconds = windowMilliseconds / BUCKETS;
    this.#newest = this.#findBucket();
  }

  add(amount: number): void {
    this.#forgetOld();
    const index = this.#newest % BUCKETS;
    this.#buckets[index] = (this.#buckets[index] ?? 0) + amount;
    this.#sum += amount;
  }

  get sum(): number {
    this.#forgetOld();
    return this.#sum;
  }

  #findBucket(): number {
    return Math.floor(this.#clock.now() / this.#bucketMilliseconds);
  }

  #forgetOld(): void {
    const current = this.#findBucket();
    const steps = Math.min(BUCKETS, current - this.#newest);
    for (let step = 1; step <= steps; step++) {
      const index = (this.#newest + step) % BUCKETS;
      this.#sum -= this.#buckets[index] ?? 0;
      this.#buckets[index] = 0;
    }
    if (steps === BUCKETS) {
      this.#sum = 0;
    }
    this.#newest = current;
  }
}

/** The times of the newest events, to keep to a number in any window. */
export class SlidingLog {
  readonly #clock: Clock;
  readonly #windowMilliseconds: number;
  #times: number[] = [];

  constructor(clock: Clock, windowMilliseconds: number) {
    this.#clock = clock;
    this.#windowMilliseconds = windowMilliseconds;
  }

  add(): void {
    this.#times.push(this.#clock.now());
  }

  count(): number {
    const oldest = this.#clock.now() - this.#windowMilliseconds;
    while (this.#times.length > 0 && (this.#times[0] as number) <= oldest) {
      this.#times.shift();
    }
    return this.#times.length;
  }
}
