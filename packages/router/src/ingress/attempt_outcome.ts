/** What the end of an attempt means for the request and the scheduler. */

import { EndpointError, EndpointErrorKind } from "@rattanvane/platform";
import { AttemptOutcome } from "@rattanvane/protocol";

/** How an error at an endpoint is reported to the scheduler. */
const OUTCOMES: Record<EndpointErrorKind, AttemptOutcome> = {
  [EndpointErrorKind.NotSent]: AttemptOutcome.NotSent,
  [EndpointErrorKind.Refused]: AttemptOutcome.EndpointRefused,
  [EndpointErrorKind.Lost]: AttemptOutcome.EndpointLost,
  [EndpointErrorKind.TimedOut]: AttemptOutcome.TimedOut,
  [EndpointErrorKind.CrossedAnswer]: AttemptOutcome.EndpointLost,
  [EndpointErrorKind.Cancelled]: AttemptOutcome.Cancelled,
  [EndpointErrorKind.BadResponse]: AttemptOutcome.EndpointLost,
};

/** Converts an endpoint's error for the scheduler's report. */
export function convertOutcome(error: EndpointError): AttemptOutcome {
  return OUTCOMES[error.kind];
}

/** Whether it is certain that the endpoint did not run the attempt. */
export function isNotRun(error: EndpointError): boolean {
  return error.kind === EndpointErrorKind.NotSent ||
    error.kind === EndpointErrorKind.Refused;
}

/** Turns whatever broke an answer's body into an endpoint error. */
export function convertBodyError(thrown: unknown): EndpointError {
  if (thrown instanceof EndpointError) {
    return thrown;
  }
  return new EndpointError(
    EndpointErrorKind.Lost,
    "The answer of the endpoint broke off",
    thrown,
  );
}

/** Turns the failure of a resume into that of the stream, which has run. */
export function convertResumeError(error: EndpointError): EndpointError {
  if (!isNotRun(error)) {
    return error;
  }
  return new EndpointError(
    EndpointErrorKind.Lost,
    `The stream broke off and can't be resumed: ${error.message}`,
    error,
  );
}
