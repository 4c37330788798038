/** What a failed try of a platform call means for its outcome. */

import { describeError } from "@rattanvane/base";
import { err, ok, type Result } from "neverthrow";
import { PlatformError, PlatformErrorKind } from "../platform_error.ts";
import { BodyTooLongError } from "./body_reader.ts";
import type { CallTimer } from "./call_timer.ts";
import { ConnectError } from "./connector.ts";
import {
  type PlatformAnswer,
  type PlatformCall,
  PlatformCallKind,
} from "./platform_call.ts";

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1_000;

/** Why one try failed, and how long to wait before the next. */
export interface FailedTry {
  error: PlatformError;
  retry: boolean;
  retryAfterMilliseconds: number;
}

/** Decides whether an answer settles the call. */
export function judgeAnswer(
  call: PlatformCall,
  received: { answer: PlatformAnswer; retryAfter: string },
): Result<PlatformAnswer, FailedTry> {
  const { answer } = received;
  if (answer.status === STATUS_TOO_MANY_REQUESTS) {
    return err({
      error: new PlatformError(
        PlatformErrorKind.RateLimited,
        `The platform put "${describeCall(call)}" off with status 429`,
      ),
      retry: true,
      retryAfterMilliseconds: parseRetryAfter(received.retryAfter),
    });
  }
  if (answer.status === STATUS_UNAVAILABLE) {
    return err({
      error: new PlatformError(
        PlatformErrorKind.Unavailable,
        `The platform refused "${describeCall(call)}" with status 503`,
      ),
      retry: true,
      retryAfterMilliseconds: 0,
    });
  }
  if (answer.status >= STATUS_SERVER_ERROR) {
    const problem = `The platform failed "${describeCall(call)}" with ` +
      `status ${answer.status}`;
    return err(createUncertainFailure(call, { problem }));
  }
  return ok(answer);
}

/** Decides what a call without an answer has come to. */
export function judgeFailure(
  call: PlatformCall,
  failure: { thrown: unknown; timer: CallTimer },
): FailedTry {
  const { thrown, timer } = failure;
  const problem = `Cannot complete "${describeCall(call)}": ` +
    (timer.expired ? "the deadline passed" : describeError(thrown));
  if (thrown instanceof ConnectError) {
    return {
      error: new PlatformError(PlatformErrorKind.Unavailable, problem, {
        cause: thrown,
      }),
      retry: true,
      retryAfterMilliseconds: 0,
    };
  }
  if (
    thrown instanceof BodyTooLongError && call.kind === PlatformCallKind.Read
  ) {
    return {
      error: new PlatformError(PlatformErrorKind.BadResponse, problem, {
        cause: thrown,
      }),
      retry: false,
      retryAfterMilliseconds: 0,
    };
  }
  return createUncertainFailure(call, { problem, cause: thrown });
}

/** A read may be sent again; a write may have been done. */
function createUncertainFailure(
  call: PlatformCall,
  failure: { problem: string; cause?: unknown },
): FailedTry {
  const isRead = call.kind === PlatformCallKind.Read;
  const kind = isRead
    ? PlatformErrorKind.Unavailable
    : PlatformErrorKind.OutcomeUnknown;
  return {
    error: new PlatformError(kind, failure.problem, { cause: failure.cause }),
    retry: isRead,
    retryAfterMilliseconds: 0,
  };
}

/** The error of a call that was never sent. */
export function createBudgetError(
  call: PlatformCall,
  timer: CallTimer,
): PlatformError {
  if (timer.signal.aborted && !timer.expired) {
    return new PlatformError(
      PlatformErrorKind.Unavailable,
      `"${describeCall(call)}" was given up before it was sent`,
    );
  }
  return new PlatformError(
    PlatformErrorKind.RateLimited,
    `This VM's ${call.kind} budget leaves no room for ` +
      `"${describeCall(call)}" before its deadline`,
  );
}

function describeCall(call: PlatformCall): string {
  return `${call.method} ${call.path}`;
}

function parseRetryAfter(text: string): number {
  const seconds = Number(text);
  return Number.isFinite(seconds) && seconds > 0
    ? seconds * MILLISECONDS_PER_SECOND
    : 0;
}
