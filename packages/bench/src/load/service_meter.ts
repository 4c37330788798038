/** Tokens that organisations received over time, for the fairness gap. */

import type { Clock } from "@rattanvane/base";

/** Adds up tokens in slices of time. */
export class ServiceMeter {
  readonly #clock: Clock;
  readonly #sliceMilliseconds: number;
  readonly #startedAt: number;
  readonly #slices = new Map<string, number[]>();

  constructor(options: { clock: Clock; sliceMilliseconds: number }) {
    this.#clock = options.clock;
    this.#sliceMilliseconds = options.sliceMilliseconds;
    this.#startedAt = options.clock.now();
  }

  /** Adds tokens that an organisation receives now. */
  add(organisation: string, tokens: number): void {
    const slices = this.#slices.get(organisation) ?? [];
    const elapsed = this.#clock.now() - this.#startedAt;
    const index = Math.floor(elapsed / this.#sliceMilliseconds);
    slices[index] = (slices[index] ?? 0) + tokens;
    this.#slices.set(organisation, slices);
  }

  /** Sums the tokens of an organisation from one slice up to another. */
  sum(organisation: string, range: { from: number; to: number }): number {
    const slices = this.#slices.get(organisation) ?? [];
    let total = 0;
    for (let index = range.from; index < range.to; index++) {
      total += slices[index] ?? 0;
    }
    return total;
  }

  /** How many slices have passed. */
  get sliceCount(): number {
    const elapsed = this.#clock.now() - this.#startedAt;
    return Math.floor(elapsed / this.#sliceMilliseconds);
  }
}
