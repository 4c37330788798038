/** Converts errors of endpoints to outcomes of attempts. */

import { EndpointError, EndpointErrorKind } from "@rattanvane/platform";
import { AttemptOutcome } from "@rattanvane/protocol";

/** The outcome that is reported to the scheduler for each kind of error. */
const OUTCOMES: Record<EndpointErrorKind, AttemptOutcome> = {
  [EndpointErrorKind.NotSent]: AttemptOutcome.NotSent,
  [EndpointErrorKind.Refused]: AttemptOutcome.EndpointRefused,
  [EndpointErrorKind.Lost]: AttemptOutcome.EndpointLost,
  [EndpointErrorKind.TimedOut]: AttemptOutcome.TimedOut,
  [EndpointErrorKind.CrossedAnswer]: AttemptOutcome.EndpointLost,
  [EndpointErrorKind.Cancelled]: AttemptOutcome.Cancelled,
  [EndpointErrorKind.BadResponse]: AttemptOutcome.EndpointLost,
};

/** Converts an endpoint error to the outcome reported to the scheduler. */
export function convertOutcome(error: EndpointError): AttemptOutcome {
  return OUTCOMES[error.kind];
}

/** Whether the endpoint certainly did not run the attempt. */
export function isNotRun(error: EndpointError): boolean {
  return error.kind === EndpointErrorKind.NotSent ||
    error.kind === EndpointErrorKind.Refused;
}

/** Converts a failure while reading a response body to an EndpointError. */
export function convertBodyError(thrown: unknown): EndpointError {
  if (thrown instanceof EndpointError) {
    return thrown;
  }
  return new EndpointError(
    EndpointErrorKind.Lost,
    "The endpoint's response body was cut off",
    thrown,
  );
}

/**
 * Converts the error of a failed resume to that of its stream. The attempt has
 * run in any case, so an error that says otherwise becomes a lost stream.
 */
export function convertResumeError(error: EndpointError): EndpointError {
  if (!isNotRun(error)) {
    return error;
  }
  return new EndpointError(
    EndpointErrorKind.Lost,
    `The stream was cut off and cannot be resumed: ${error.message}`,
    error,
  );
}
