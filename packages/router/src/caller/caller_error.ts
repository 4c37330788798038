/** Errors as callers see them. */

import { ProductError } from "@rattanvane/base";

/** Whether a request that failed may have run. */
export enum CallOutcome {
  /** No attempt of the request left for an endpoint. */
  NotRun = "not_run",
  /** The request may have run. */
  Unknown = "unknown",
}

/** What a caller can be told when there is no answer. */
export enum CallerErrorKind {
  MissingKey = "missing_key",
  WrongKey = "wrong_key",
  NotFound = "not_found",
  MethodNotAllowed = "method_not_allowed",
  UnknownService = "unknown_service",
  ServiceNotAllowed = "service_not_allowed",
  BodyTooLong = "body_too_long",
  BodyTooSlow = "body_too_slow",
  MalformedBody = "malformed_body",
  MalformedHeader = "malformed_header",
  MalformedRequest = "malformed_request",
  HeadersTooLong = "headers_too_long",
  HeadersTooSlow = "headers_too_slow",
  IdempotencyKeyMissing = "idempotency_key_missing",
  IdempotencyKeyRefused = "idempotency_key_refused",
  QueueFull = "queue_full",
  WaitedTooLong = "waited_too_long",
  Quarantined = "quarantined",
  NoEndpoint = "no_endpoint",
  EndpointFailed = "endpoint_failed",
  AnswerTooLong = "answer_too_long",
  StreamGone = "stream_gone",
  CallNotRun = "call_not_run",
  CallUnknown = "call_unknown",
  ShuttingDown = "shutting_down",
  NotReady = "not_ready",
  Internal = "internal",
}

interface ErrorText {
  status: number;
  remedy: string;
}

const ERROR_TEXTS: Record<CallerErrorKind, ErrorText> = {
  [CallerErrorKind.MissingKey]: {
    status: 401,
    remedy: 'send the header "Authorization: Bearer KEY"',
  },
  [CallerErrorKind.WrongKey]: {
    status: 401,
    remedy: "check the key, or ask an operator for a new one",
  },
  [CallerErrorKind.NotFound]: {
    status: 404,
    remedy: "check the path against the page for callers",
  },
  [CallerErrorKind.MethodNotAllowed]: {
    status: 405,
    remedy: "use the method that the page for callers names",
  },
  [CallerErrorKind.UnknownService]: {
    status: 404,
    remedy: "check the name of the model or service",
  },
  [CallerErrorKind.ServiceNotAllowed]: {
    status: 403,
    remedy: "ask an operator to allow the organisation this service",
  },
  [CallerErrorKind.BodyTooLong]: {
    status: 413,
    remedy: "send a shorter body",
  },
  [CallerErrorKind.BodyTooSlow]: {
    status: 408,
    remedy: "send the body faster",
  },
  [CallerErrorKind.MalformedBody]: {
    status: 400,
    remedy: "send a JSON object as the page for callers describes it",
  },
  [CallerErrorKind.MalformedHeader]: {
    status: 400,
    remedy: "correct the header or leave it out",
  },
  [CallerErrorKind.MalformedRequest]: {
    status: 400,
    remedy: "send a request in HTTP/1.1",
  },
  [CallerErrorKind.HeadersTooLong]: {
    status: 431,
    remedy: "send fewer or shorter headers",
  },
  [CallerErrorKind.HeadersTooSlow]: {
    status: 408,
    remedy: "send the headers faster",
  },
  [CallerErrorKind.IdempotencyKeyMissing]: {
    status: 400,
    remedy: "send an Idempotency-Key, or one from POST /v1/keys",
  },
  [CallerErrorKind.IdempotencyKeyRefused]: {
    status: 409,
    remedy: "use a new key only for a call that is new",
  },
  [CallerErrorKind.QueueFull]: {
    status: 429,
    remedy: "send the request again after the time in Retry-After",
  },
  [CallerErrorKind.WaitedTooLong]: {
    status: 503,
    remedy: "send the request again, or allow it a longer deadline",
  },
  [CallerErrorKind.Quarantined]: {
    status: 422,
    remedy: "change the request; it crashed the endpoints that ran it",
  },
  [CallerErrorKind.NoEndpoint]: {
    status: 503,
    remedy: "send the request again later",
  },
  [CallerErrorKind.EndpointFailed]: {
    status: 502,
    remedy: "find out whether the call took effect before sending it again",
  },
  [CallerErrorKind.AnswerTooLong]: {
    status: 502,
    remedy: "ask for a shorter answer",
  },
  [CallerErrorKind.StreamGone]: {
    status: 410,
    remedy: "send the request again from the start",
  },
  [CallerErrorKind.CallNotRun]: {
    status: 503,
    remedy: "send the call again with the same key",
  },
  [CallerErrorKind.CallUnknown]: {
    status: 502,
    remedy: "send it again with the same key to learn more; use a new key " +
      "only once you know that it did not take effect",
  },
  [CallerErrorKind.ShuttingDown]: {
    status: 503,
    remedy: "send the request again; another VM will take it",
  },
  [CallerErrorKind.NotReady]: {
    status: 503,
    remedy: "wait until /readyz answers 200",
  },
  [CallerErrorKind.Internal]: {
    status: 500,
    remedy: "tell an operator the request id",
  },
};

/** What a caller's error is made of. */
export interface CallerErrorOptions {
  /** Whether the request may have run. */
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
    const text = ERROR_TEXTS[kind];
    const remedy = options.remedy ?? text.remedy;
    super({ kind, problem, remedy, cause: options.cause });
    this.status = text.status;
    this.outcome = options.outcome ?? CallOutcome.NotRun;
    this.retryAfterMilliseconds = options.retryAfterMilliseconds;
  }
}

/** One kind of error for the operators' page. */
export interface CallerErrorDescription {
  kind: CallerErrorKind;
  status: number;
  remedy: string;
}

/** Lists all kinds of errors that callers can see. */
export function listCallerErrors(): CallerErrorDescription[] {
  return Object.values(CallerErrorKind).map((kind) => ({
    kind,
    ...ERROR_TEXTS[kind],
  }));
}
