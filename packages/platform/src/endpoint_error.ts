/** Errors of endpoints. */

import { ProductError } from "@rattanvane/base";

/** The kinds of endpoint errors; they tell whether the request may have run. */
export enum EndpointErrorKind {
  /** The connection was refused or not established; nothing was sent. */
  NotSent = "notSent",
  /** The endpoint reported that it did not run the request. */
  Refused = "refused",
  /** The connection failed after data was sent. */
  Lost = "lost",
  TimedOut = "timedOut",
  /** The response carried another attempt's id and was discarded. */
  CrossedAnswer = "crossedAnswer",
  Cancelled = "cancelled",
  BadResponse = "badResponse",
}

/** An error of an endpoint. */
export class EndpointError extends ProductError<EndpointErrorKind> {
  constructor(kind: EndpointErrorKind, problem: string, cause?: unknown) {
    super({ kind, problem, remedy: REMEDIES[kind], cause });
  }
}

const REMEDIES: Record<EndpointErrorKind, string> = {
  [EndpointErrorKind.NotSent]: "check that the endpoint runs at its address",
  [EndpointErrorKind.Refused]: "retry at another endpoint",
  [EndpointErrorKind.Lost]: "treat the call as possibly run",
  [EndpointErrorKind.TimedOut]: "treat the call as possibly run",
  [EndpointErrorKind.CrossedAnswer]: "check the endpoint's answer headers",
  [EndpointErrorKind.Cancelled]: "send the call again if it is still wanted",
  [EndpointErrorKind.BadResponse]: "check that the URL is an endpoint's",
};
