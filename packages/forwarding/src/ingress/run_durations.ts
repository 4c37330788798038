/** Learns how long the requests of each route take at endpoints. */

const SMOOTHING_FACTOR = 0.1;
/** Few requests take longer than the mean and this many mean deviations. */
const DEVIATIONS = 3;

interface Duration {
  mean: number;
  deviation: number;
}

/** Moving averages of durations in milliseconds, by route. */
export class RunDurations {
  readonly #durations = new Map<string, Duration>();

  /** Records the duration of an attempt that was answered. */
  record(route: string, milliseconds: number): void {
    const known = this.#durations.get(route);
    if (known === undefined) {
      const deviation = milliseconds / 2;
      this.#durations.set(route, { mean: milliseconds, deviation });
      return;
    }
    const difference = milliseconds - known.mean;
    known.mean += SMOOTHING_FACTOR * difference;
    known.deviation += SMOOTHING_FACTOR *
      (Math.abs(difference) - known.deviation);
  }

  /** Predicts a duration that few requests exceed; infinite without a record. */
  predict(route: string): number {
    const known = this.#durations.get(route);
    return known === undefined
      ? Infinity
      : known.mean + DEVIATIONS * known.deviation;
  }
}
