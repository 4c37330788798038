/** Learns how long attempts of each kind take to begin their answer. */

import type { SchedulableCall } from "../model/call.ts";

const SAMPLES_PER_KIND = 128;
/** A quantile of fewer samples is not used. */
const MIN_SAMPLES = 20;
/** The quantile is computed again after this many new samples. */
const SAMPLES_PER_UPDATE = 8;
/** Beyond this many kinds, the one that was added first is forgotten. */
const MAX_KINDS = 256;

/** The last samples of one kind. */
class SampleWindow {
  readonly #samples: number[] = [];
  #next = 0;
  #samplesSinceUpdate = 0;
  #quantile: number | undefined;

  add(sample: number): void {
    this.#samples[this.#next] = sample;
    this.#next = (this.#next + 1) % SAMPLES_PER_KIND;
    this.#samplesSinceUpdate++;
  }

  computeQuantile(fraction: number): number | undefined {
    if (this.#samples.length < MIN_SAMPLES) {
      return undefined;
    }
    const isOutdated = this.#quantile === undefined ||
      this.#samplesSinceUpdate >= SAMPLES_PER_UPDATE;
    if (isOutdated) {
      const sorted = [...this.#samples].sort((first, second) => first - second);
      this.#quantile = sorted[Math.floor(fraction * (sorted.length - 1))];
      this.#samplesSinceUpdate = 0;
    }
    return this.#quantile;
  }
}

/**
 * Keeps the latest times from an attempt's start to its first byte, for one
 * service. Requests with the same objectives and prompts of about the same
 * length are of one kind.
 */
export class AnswerTimes {
  readonly #quantile: number;
  readonly #kinds = new Map<string, SampleWindow>();

  /** @param quantile the quantile to compute, 0 to 1 */
  constructor(quantile: number) {
    this.#quantile = quantile;
  }

  /** Records the time of one attempt in milliseconds. */
  record(call: SchedulableCall, milliseconds: number): void {
    const kind = formatKind(call);
    const known = this.#kinds.get(kind);
    if (known !== undefined) {
      known.add(milliseconds);
      return;
    }
    const [oldest] = this.#kinds.keys();
    if (this.#kinds.size >= MAX_KINDS && oldest !== undefined) {
      this.#kinds.delete(oldest);
    }
    const created = new SampleWindow();
    created.add(milliseconds);
    this.#kinds.set(kind, created);
  }

  /** The quantile of a call's kind in milliseconds; undefined if unknown. */
  computeQuantile(call: SchedulableCall): number | undefined {
    return this.#kinds.get(formatKind(call))?.computeQuantile(this.#quantile);
  }
}

/** Groups prompts by powers of two of their tokens. */
function formatKind({ route, identity: { prompt } }: SchedulableCall): string {
  const size = prompt === undefined
    ? 0
    : Math.ceil(Math.log2(Math.max(1, prompt.tokens)));
  return `${route.objectiveMilliseconds} ${route.pauseMilliseconds} ${size}`;
}
