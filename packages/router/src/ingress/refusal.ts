/** Converts refusals and endpoint errors to the errors that callers receive. */

import type { EndpointError } from "@rattanvane/platform";
import { RefusalReason, type RefuseMessage } from "@rattanvane/protocol";
import {
  CallerError,
  CallerErrorKind,
  CallOutcome,
} from "../caller/caller_error.ts";
import type { CallEntry } from "./call_entry.ts";

interface CallerRefusal {
  kind: CallerErrorKind;
  problem: string;
}

const CALLER_REFUSALS: Record<RefusalReason, CallerRefusal> = {
  [RefusalReason.QueueFull]: {
    kind: CallerErrorKind.QueueFull,
    problem: "Too many requests of the organisation are waiting",
  },
  [RefusalReason.WaitedTooLong]: {
    kind: CallerErrorKind.WaitedTooLong,
    problem: "No endpoint became available before the request's deadline",
  },
  [RefusalReason.Quarantined]: {
    kind: CallerErrorKind.Quarantined,
    problem: "The request crashed the endpoints that ran it",
  },
  [RefusalReason.NoEndpoint]: {
    kind: CallerErrorKind.NoEndpoint,
    problem: "No endpoint of the service is in use",
  },
  [RefusalReason.NotReachable]: {
    kind: CallerErrorKind.NoEndpoint,
    problem: "No endpoint of the service is reachable from this VM",
  },
};

/** Returns Unknown when any attempt of a request may have run, else NotRun. */
export function computeOutcome(entry: CallEntry): CallOutcome {
  return entry.attemptsMade === 0 ? CallOutcome.NotRun : CallOutcome.Unknown;
}

/** Converts a scheduler's refusal to the error for the caller. */
export function convertRefusal(
  refusal: RefuseMessage,
  entry: CallEntry,
): CallerError {
  const { kind, problem } = CALLER_REFUSALS[refusal.reason];
  return new CallerError(kind, problem, {
    outcome: computeOutcome(entry),
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  });
}

/** Converts the error of the last attempt to the error for the caller. */
export function convertEndpointError(
  error: EndpointError,
  entry: CallEntry,
): CallerError {
  const outcome = computeOutcome(entry);
  const kind = outcome === CallOutcome.NotRun
    ? CallerErrorKind.NoEndpoint
    : CallerErrorKind.EndpointFailed;
  const problem = `The endpoint failed: ${error.message}`;
  return new CallerError(kind, problem, { outcome, cause: error });
}
