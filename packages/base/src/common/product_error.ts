/** Base class of the product's typed errors. */

/** Properties of a `ProductError`. */
export interface ProductErrorOptions<Kind extends string> {
  kind: Kind;
  /** A sentence without a final full stop that names the offending value. */
  problem: string;
  /** An action that resolves the problem. */
  remedy: string;
  cause?: unknown;
}

/** An error with a machine-readable kind; its message ends with the remedy. */
export class ProductError<Kind extends string = string> extends Error {
  readonly kind: Kind;
  /** The message without its remedy. */
  readonly problem: string;
  readonly remedy: string;

  constructor(options: ProductErrorOptions<Kind>) {
    super(`${options.problem}; ${options.remedy}`, { cause: options.cause });
    this.kind = options.kind;
    this.problem = options.problem;
    this.remedy = options.remedy;
  }
}

/** Returns the message of a thrown value of any type. */
export function describeError(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
