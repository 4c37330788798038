/** The common shape of the product's typed errors. */

/** What an error is made of. */
export interface ProductErrorOptions<Kind extends string> {
  kind: Kind;
  /** A sentence without a final stop that names the offending value. */
  problem: string;
  /** What the reader can do about it. */
  remedy: string;
  cause?: unknown;
}

/** An error with a kind; its message ends with the remedy. */
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

/** The message of anything that was thrown. */
export function describeError(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
