/** Predicts the prefill time of engines from measured response times. */

/** The prefill that an engine performs before a response begins. */
export interface PrefillWork {
  /** Prompt tokens to process. */
  tokens: number;
  /**
   * Pairs of a token to process and a token before it, in millions, which
   * attention visits.
   */
  pairs: number;
}

const FEATURE_COUNT = 3;
/** The weight of older samples is multiplied by this with each new sample. */
const FORGETTING_FACTOR = 0.995;
/** The weight of the initial coefficients, as a number of samples. */
const PRIOR_WEIGHT_SAMPLES = 8;
const SAMPLES_PER_FIT = 8;
const MIN_MILLISECONDS_PER_TOKEN = 1 / 2_000;
const MAX_SAMPLE_MILLISECONDS = 4_000;
const INITIAL_OVERHEAD_MILLISECONDS = 40;
const INITIAL_MILLISECONDS_PER_MILLION_PAIRS = 0.2;

/** Typical magnitudes of the features: constant, tokens, million pairs. */
const FEATURE_SCALES = [1, 10_000, 100];

/**
 * Computes the token pairs that attention visits for a prompt, in millions.
 *
 * @param tokens the tokens to process, the last ones of the prompt
 * @param context all tokens of the prompt
 */
export function computePairs(tokens: number, context: number): number {
  return (tokens * (context - tokens / 2)) / 1e6;
}

/**
 * A linear model of the time to the first event, in milliseconds: a constant
 * overhead, a time per token and a time per token pair, both over the pending
 * prefill of the engine and the request itself. Fitted by least squares with
 * exponential forgetting.
 */
export class PrefillModel {
  #coefficients: number[];
  readonly #prior: number[];
  readonly #matrix: number[][];
  readonly #vector: number[];
  #sampleCount = 0;

  /** Creates a model with an initial estimate of the time per token. */
  constructor(millisecondsPerToken: number) {
    this.#prior = [
      INITIAL_OVERHEAD_MILLISECONDS,
      millisecondsPerToken * (FEATURE_SCALES[1] as number),
      INITIAL_MILLISECONDS_PER_MILLION_PAIRS * (FEATURE_SCALES[2] as number),
    ];
    this.#coefficients = [...this.#prior];
    this.#matrix = FEATURE_SCALES.map((_, row) =>
      FEATURE_SCALES.map((_, column) =>
        row === column ? PRIOR_WEIGHT_SAMPLES : 0
      )
    );
    this.#vector = this.#prior.map((value) => value * PRIOR_WEIGHT_SAMPLES);
  }

  /**
   * Predicts the time of some prefill in milliseconds, without the overhead.
   *
   * @param pairs token pairs in millions
   */
  predictPrefill(tokens: number, pairs: number): number {
    const [, perToken, perPair] = this.#coefficients as [
      number,
      number,
      number,
    ];
    const predicted = perToken * tokens / (FEATURE_SCALES[1] as number) +
      perPair * pairs / (FEATURE_SCALES[2] as number);
    return Math.max(tokens * MIN_MILLISECONDS_PER_TOKEN, predicted);
  }

  /** The constant overhead of the time to the first event, in milliseconds. */
  get overheadMilliseconds(): number {
    return Math.max(0, this.#coefficients[0] as number);
  }

  /**
   * Adds a sample: the measured time of some prefill up to the first event, in
   * milliseconds. Times are clamped to an upper limit. The model is refitted
   * after every few samples.
   */
  addSample(work: PrefillWork, milliseconds: number): void {
    const features = [
      1,
      work.tokens / (FEATURE_SCALES[1] as number),
      work.pairs / (FEATURE_SCALES[2] as number),
    ];
    const target = Math.min(milliseconds, MAX_SAMPLE_MILLISECONDS);
    for (let row = 0; row < FEATURE_COUNT; row++) {
      const line = this.#matrix[row] as number[];
      for (let column = 0; column < FEATURE_COUNT; column++) {
        line[column] = (line[column] as number) * FORGETTING_FACTOR +
          (features[row] as number) * (features[column] as number);
      }
      this.#vector[row] = (this.#vector[row] as number) * FORGETTING_FACTOR +
        (features[row] as number) * target;
    }
    this.#sampleCount++;
    if (this.#sampleCount % SAMPLES_PER_FIT === 0) {
      this.#fit();
    }
  }

  /** Formats the model for logs: milliseconds per 1,000 tokens and 1M pairs. */
  describe(): string {
    const [overhead, perToken, perPair] = this.#coefficients as [
      number,
      number,
      number,
    ];
    return `${overhead.toFixed(1)} + ${(perToken / 10).toFixed(2)}/1k + ` +
      `${(perPair / 100).toFixed(3)}/Mp`;
  }

  /** Solves the normal equations, regularised towards the prior. */
  #fit(): void {
    const regularised = this.#matrix.map((line, row) =>
      line.map((value, column) => row === column ? value + 0.5 : value)
    );
    const target = this.#vector.map((value, row) =>
      value + 0.5 * (this.#prior[row] as number)
    );
    const solution = computeLinearSolution(regularised, target);
    if (solution !== undefined) {
      this.#coefficients = solution.map((value) => Math.max(0, value));
    }
  }
}

/**
 * Solves a linear system by Gauss-Jordan elimination; undefined if a pivot
 * vanishes.
 */
function computeLinearSolution(
  matrix: readonly (readonly number[])[],
  vector: readonly number[],
): number[] | undefined {
  const rows = matrix.map((line, index) => [...line, vector[index] as number]);
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot++) {
    const pivotRow = rows[pivot] as number[];
    const divisor = pivotRow[pivot] as number;
    if (Math.abs(divisor) < 1e-9) {
      return undefined;
    }
    for (let column = pivot; column <= size; column++) {
      pivotRow[column] = (pivotRow[column] as number) / divisor;
    }
    for (let other = 0; other < size; other++) {
      const line = rows[other] as number[];
      const factor = line[pivot] as number;
      if (other !== pivot && factor !== 0) {
        for (let column = pivot; column <= size; column++) {
          line[column] = (line[column] as number) -
            factor * (pivotRow[column] as number);
        }
      }
    }
  }
  return rows.map((line) => line[size] as number);
}
