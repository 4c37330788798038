/** Predicts how long engines take to read prompts, from what was seen. */

/** Work that must be read before an answer begins. */
export interface PrefillWork {
  /** Prompt tokens to read. */
  tokens: number;
  /** Tokens to read, each times the tokens before it, in millions. */
  pairs: number;
}

const FEATURES = 3;
/** How much older samples count with each new one. */
const FORGETTING = 0.995;
/** How many samples the first guess is worth. */
const PRIOR_WEIGHT = 8;
const SAMPLES_PER_FIT = 8;
const LEAST_MILLISECONDS_PER_TOKEN = 1 / 2_000;
const LARGEST_SAMPLE_MILLISECONDS = 4_000;
const FIRST_OVERHEAD_MILLISECONDS = 40;
const FIRST_MILLISECONDS_PER_PAIR = 0.2;

/** The typical figures by which the features are scaled. */
const SCALES = [1, 10_000, 100];

/** The pairs of tokens that attention visits for a prompt, in millions. */
export function computePairs(read: number, context: number): number {
  return (read * (context - read / 2)) / 1e6;
}

/**
 * A linear model of the time to the first event: a constant, a time for each
 * token and a time for each pair of tokens that wait or are the request's own.
 * Fitted by least squares with exponential forgetting.
 */
export class PrefillModel {
  #coefficients: number[];
  readonly #prior: number[];
  readonly #matrix: number[][];
  readonly #vector: number[];
  #samples = 0;

  /** Begins with a guess of the time for one token. */
  constructor(millisecondsPerToken: number) {
    this.#prior = [
      FIRST_OVERHEAD_MILLISECONDS,
      millisecondsPerToken * (SCALES[1] as number),
      FIRST_MILLISECONDS_PER_PAIR * (SCALES[2] as number),
    ];
    this.#coefficients = [...this.#prior];
    this.#matrix = SCALES.map((_, row) =>
      SCALES.map((_, column) => row === column ? PRIOR_WEIGHT : 0)
    );
    this.#vector = this.#prior.map((value) => value * PRIOR_WEIGHT);
  }

  /** The time that reading some work takes, without the constant. */
  predictReading(work: PrefillWork): number {
    const [, perToken, perPair] = this.#coefficients as [
      number,
      number,
      number,
    ];
    const tokens = perToken * work.tokens / (SCALES[1] as number);
    const pairs = perPair * work.pairs / (SCALES[2] as number);
    return Math.max(work.tokens * LEAST_MILLISECONDS_PER_TOKEN, tokens + pairs);
  }

  /** The constant part of the time to the first event, in milliseconds. */
  get overheadMilliseconds(): number {
    return Math.max(0, this.#coefficients[0] as number);
  }

  /** Notes how long work took until its first event. */
  learn(work: PrefillWork, milliseconds: number): void {
    const features = [
      1,
      work.tokens / (SCALES[1] as number),
      work.pairs / (SCALES[2] as number),
    ];
    const target = Math.min(milliseconds, LARGEST_SAMPLE_MILLISECONDS);
    for (let row = 0; row < FEATURES; row++) {
      const line = this.#matrix[row] as number[];
      for (let column = 0; column < FEATURES; column++) {
        line[column] = (line[column] as number) * FORGETTING +
          (features[row] as number) * (features[column] as number);
      }
      this.#vector[row] = (this.#vector[row] as number) * FORGETTING +
        (features[row] as number) * target;
    }
    this.#samples++;
    if (this.#samples % SAMPLES_PER_FIT === 0) {
      this.#fit();
    }
  }

  /** The model in words for logs, milliseconds for 1,000 tokens and 1M pairs. */
  describe(): string {
    const [overhead, perToken, perPair] = this.#coefficients as [
      number,
      number,
      number,
    ];
    return `${overhead.toFixed(1)} + ${(perToken / 10).toFixed(2)}/1k + ` +
      `${(perPair / 100).toFixed(3)}/Mp`;
  }

  #fit(): void {
    const damped = this.#matrix.map((line, row) =>
      line.map((value, column) => row === column ? value + 0.5 : value)
    );
    const target = this.#vector.map((value, row) =>
      value + 0.5 * (this.#prior[row] as number)
    );
    const solved = computeSolution(damped, target);
    if (solved !== undefined) {
      this.#coefficients = solved.map((value) => Math.max(0, value));
    }
  }
}

/** Solves a small linear system; undefined when it has no single solution. */
function computeSolution(
  matrix: readonly (readonly number[])[],
  vector: readonly number[],
): number[] | undefined {
  const rows = matrix.map((line, index) => [...line, vector[index] as number]);
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot++) {
    const lead = rows[pivot] as number[];
    const divisor = lead[pivot] as number;
    if (Math.abs(divisor) < 1e-9) {
      return undefined;
    }
    for (let column = pivot; column <= size; column++) {
      lead[column] = (lead[column] as number) / divisor;
    }
    for (let other = 0; other < size; other++) {
      const line = rows[other] as number[];
      const factor = line[pivot] as number;
      if (other !== pivot && factor !== 0) {
        for (let column = pivot; column <= size; column++) {
          line[column] = (line[column] as number) -
            factor * (lead[column] as number);
        }
      }
    }
  }
  return rows.map((line) => line[size] as number);
}
