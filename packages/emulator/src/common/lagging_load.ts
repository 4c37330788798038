/** A load figure that is reported some time after it was true. */

import type { Clock } from "@rattanvane/base";

interface LoadSample {
  at: number;
  running: number;
}

/** What a load report shows. */
export interface LaggingLoadReport {
  running: number;
  /** How old the figure is. */
  ageMilliseconds: number;
}

/** Keeps the running requests of the recent past. */
export class LaggingLoad {
  readonly #lagMilliseconds: number;
  readonly #clock: Clock;
  readonly #startedAt: number;
  #samples: LoadSample[];

  constructor(lagMilliseconds: number, clock: Clock) {
    this.#lagMilliseconds = lagMilliseconds;
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#samples = [{ at: this.#startedAt, running: 0 }];
  }

  /** Records how many requests run from now on. */
  record(running: number): void {
    this.#prune();
    this.#samples.push({ at: this.#clock.now(), running });
  }

  /** Reports the figure as it was before the lag. */
  report(): LaggingLoadReport {
    this.#prune();
    const uptime = this.#clock.now() - this.#startedAt;
    return {
      running: this.#samples[0]?.running ?? 0,
      ageMilliseconds: Math.round(Math.min(this.#lagMilliseconds, uptime)),
    };
  }

  /** Drops the samples before the one that is shown now. */
  #prune(): void {
    const shownAt = this.#clock.now() - this.#lagMilliseconds;
    const later = this.#samples.findIndex((sample) => sample.at > shownAt);
    const shown = (later < 0 ? this.#samples.length : later) - 1;
    this.#samples = this.#samples.slice(Math.max(shown, 0));
  }
}
