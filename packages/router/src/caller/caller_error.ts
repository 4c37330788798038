/** Errors that are returned to callers. */

import { ProductError } from "@rattanvane/base";
import { CallerErrorKind, type CallOutcome } from "./caller_error_kind.ts";
import {
  CALLER_ERROR_TEXTS,
  type CallerErrorText,
} from "./caller_error_texts.ts";

export { CallerErrorKind, CallOutcome } from "./caller_error_kind.ts";

/** Optional properties of a CallerError. */
export interface CallerErrorOptions {
  /** Whether the request may have run; default: the kind's first outcome. */
  outcome?: CallOutcome;
  /** Delay after which the caller may retry; sent as Retry-After. */
  retryAfterMilliseconds?: number;
  /** Overrides the remedy of the kind. */
  remedy?: string;
  cause?: unknown;
}

/** An error that is returned to a caller, with HTTP status and outcome. */
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

  /** Returns a copy with another outcome, for when more or less is known. */
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

/** One kind of error as documented on the operators' page. */
export interface CallerErrorDescription extends CallerErrorText {
  kind: CallerErrorKind;
}

/** Lists all kinds of errors that are returned to callers. */
export function listCallerErrors(): CallerErrorDescription[] {
  return Object.values(CallerErrorKind).map((kind) => ({
    kind,
    ...CALLER_ERROR_TEXTS[kind],
  }));
}
