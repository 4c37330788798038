/** Errors as callers see them. */

import { ProductError } from "@rattanvane/base";
import { CallerErrorKind, type CallOutcome } from "./caller_error_kind.ts";
import {
  CALLER_ERROR_TEXTS,
  type CallerErrorText,
} from "./caller_error_texts.ts";

export { CallerErrorKind, CallOutcome } from "./caller_error_kind.ts";

/** What a caller's error is made of. */
export interface CallerErrorOptions {
  /** Whether the request may have run; the kind's first without it. */
  outcome?: CallOutcome;
  /** When to try again, in milliseconds. */
  retryAfterMilliseconds?: number;
  /** A remedy that fits better than the kind's own. */
  remedy?: string;
  cause?: unknown;
}

/** An error for a caller, with its HTTP status and outcome. */
export class CallerError extends ProductError<CallerErrorKind> {
  readonly status: number;
  readonly outcome: CallOutcome;
  readonly retryAfterMilliseconds: number | undefined;

  constructor(
    kind: CallerErrorKind,
    problem: string,
    options: CallerErrorOptions = {},
  ) {
    const text = CALLER_ERROR_TEXTS[kind];
    const remedy = options.remedy ?? text.remedy;
    super({ kind, problem, remedy, cause: options.cause });
    this.status = text.status;
    this.outcome = options.outcome ?? text.outcomes[0];
    this.retryAfterMilliseconds = options.retryAfterMilliseconds;
  }

  /** The same error for a call of which less, or more, is known. */
  withOutcome(outcome: CallOutcome): CallerError {
    const { kind, problem, remedy, cause, retryAfterMilliseconds } = this;
    return new CallerError(kind, problem, {
      outcome,
      remedy,
      cause,
      ...(retryAfterMilliseconds === undefined
        ? {}
        : { retryAfterMilliseconds }),
    });
  }
}

/** One kind of error for the operators' page. */
export interface CallerErrorDescription extends CallerErrorText {
  kind: CallerErrorKind;
}

/** Lists all kinds of errors that callers can see. */
export function listCallerErrors(): CallerErrorDescription[] {
  return Object.values(CallerErrorKind).map((kind) => ({
    kind,
    ...CALLER_ERROR_TEXTS[kind],
  }));
}
