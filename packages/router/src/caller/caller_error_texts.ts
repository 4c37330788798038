/** Status, outcomes, meaning and remedy of each kind of caller error. */

import { CallerErrorKind, CallOutcome } from "./caller_error_kind.ts";

/** Properties that all errors of one kind share. */
export interface CallerErrorText {
  status: number;
  /** The outcomes that the kind allows; the first is the default. */
  outcomes: readonly [CallOutcome, ...CallOutcome[]];
  /** A sentence that describes the kind on the operators' page. */
  meaning: string;
  remedy: string;
}

const NOT_RUN = [CallOutcome.NotRun] as const;
const UNKNOWN = [CallOutcome.Unknown] as const;
const EITHER = [CallOutcome.NotRun, CallOutcome.Unknown] as const;

/** The properties of each kind of caller error. */
export const CALLER_ERROR_TEXTS: Readonly<
  Record<CallerErrorKind, CallerErrorText>
> = {
  [CallerErrorKind.MissingKey]: {
    status: 401,
    outcomes: EITHER,
    meaning: "The request carries no key.",
    remedy: 'send the header "Authorization: Bearer KEY"',
  },
  [CallerErrorKind.WrongKey]: {
    status: 401,
    outcomes: EITHER,
    meaning: "The key is unknown, or is not an operator key.",
    remedy: "check the key, or ask an operator for a new one",
  },
  [CallerErrorKind.NotFound]: {
    status: 404,
    outcomes: NOT_RUN,
    meaning: "There is nothing at the path.",
    remedy: "check the path against the page for callers",
  },
  [CallerErrorKind.MethodNotAllowed]: {
    status: 405,
    outcomes: NOT_RUN,
    meaning: "The path does not support the method.",
    remedy: "use the method that the page for callers names",
  },
  [CallerErrorKind.UnknownService]: {
    status: 404,
    outcomes: EITHER,
    meaning: "No service has the name, or the service is of another kind.",
    remedy: "check the name of the model or service",
  },
  [CallerErrorKind.ServiceNotAllowed]: {
    status: 403,
    outcomes: EITHER,
    meaning: "The organisation is not allowed to use the service.",
    remedy: "ask an operator to allow the organisation this service",
  },
  [CallerErrorKind.BodyTooLong]: {
    status: 413,
    outcomes: EITHER,
    meaning: "The body exceeds the size limit of this VM.",
    remedy: "send a shorter body",
  },
  [CallerErrorKind.BodyTooSlow]: {
    status: 408,
    outcomes: EITHER,
    meaning: "The body did not arrive in time.",
    remedy: "send the body faster",
  },
  [CallerErrorKind.MalformedBody]: {
    status: 400,
    outcomes: EITHER,
    meaning: "The body cannot be parsed, or the engine rejected it.",
    remedy: "send a JSON object as the page for callers describes it",
  },
  [CallerErrorKind.MalformedHeader]: {
    status: 400,
    outcomes: EITHER,
    meaning: "A header has an invalid value.",
    remedy: "correct the header or leave it out",
  },
  [CallerErrorKind.MalformedRequest]: {
    status: 400,
    outcomes: NOT_RUN,
    meaning: "The data received is not a valid HTTP request.",
    remedy: "send a request in HTTP/1.1",
  },
  [CallerErrorKind.HeadersTooLong]: {
    status: 431,
    outcomes: NOT_RUN,
    meaning: "The headers exceed the size limit of this VM.",
    remedy: "send fewer or shorter headers",
  },
  [CallerErrorKind.HeadersTooSlow]: {
    status: 408,
    outcomes: NOT_RUN,
    meaning: "The headers did not arrive in time.",
    remedy: "send the headers faster",
  },
  [CallerErrorKind.IdempotencyKeyMissing]: {
    status: 400,
    outcomes: NOT_RUN,
    meaning: "The call is not idempotent and has no idempotency key.",
    remedy: "send an Idempotency-Key, or one from POST /v1/keys",
  },
  [CallerErrorKind.IdempotencyKeyRefused]: {
    status: 409,
    outcomes: EITHER,
    meaning: "The key cannot be used for the call.",
    remedy: "use a new key only for a call that is new",
  },
  [CallerErrorKind.QueueFull]: {
    status: 429,
    outcomes: EITHER,
    meaning: "Too many requests are queued.",
    remedy: "send the request again after the time in Retry-After",
  },
  [CallerErrorKind.WaitedTooLong]: {
    status: 503,
    outcomes: EITHER,
    meaning: "The deadline expired before an endpoint had capacity.",
    remedy: "send the request again, or allow it a longer deadline",
  },
  [CallerErrorKind.Quarantined]: {
    status: 422,
    outcomes: EITHER,
    meaning: "The body was running when endpoints crashed.",
    remedy: "change the request; it crashed the endpoints that ran it",
  },
  [CallerErrorKind.NoEndpoint]: {
    status: 503,
    outcomes: EITHER,
    meaning: "No endpoint is in use or could be reached.",
    remedy: "send the request again later",
  },
  [CallerErrorKind.EndpointFailed]: {
    status: 502,
    outcomes: UNKNOWN,
    meaning: "The last attempt failed and must not be retried.",
    remedy: "find out whether the call took effect before sending it again",
  },
  [CallerErrorKind.AnswerTooLong]: {
    status: 502,
    outcomes: UNKNOWN,
    meaning: "The response of a plain service exceeds the size limit.",
    remedy: "request a shorter response",
  },
  [CallerErrorKind.StreamGone]: {
    status: 410,
    outcomes: EITHER,
    meaning: "A stream cannot be resumed.",
    remedy: "send the request again from the start",
  },
  [CallerErrorKind.CallNotRun]: {
    status: 503,
    outcomes: NOT_RUN,
    meaning: "A keyed call was not run.",
    remedy: "send the call again with the same key",
  },
  [CallerErrorKind.CallUnknown]: {
    status: 502,
    outcomes: UNKNOWN,
    meaning: "A keyed call may have run.",
    remedy: "send it again with the same key to learn more; use a new key " +
      "only once you know that it did not take effect",
  },
  [CallerErrorKind.NotReady]: {
    status: 503,
    outcomes: EITHER,
    meaning: "The VM has no configuration yet, or is not in service.",
    remedy: "wait until /readyz answers 200",
  },
  [CallerErrorKind.Internal]: {
    status: 500,
    outcomes: UNKNOWN,
    meaning: "The router failed with an internal error.",
    remedy: "report the request id to an operator",
  },
};
