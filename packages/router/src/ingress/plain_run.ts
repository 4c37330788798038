/** Runs calls to plain services, with retries. */

import { ByteCollector } from "@rattanvane/base";
import {
  EndpointError,
  EndpointErrorKind,
  type EndpointResponse,
  type HttpHeader,
} from "@rattanvane/platform";
import { AttemptOutcome, MessageKind } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import {
  CallerError,
  CallerErrorKind,
  CallOutcome,
} from "../caller/caller_error.ts";
import { Attempt } from "./attempt.ts";
import type { AttemptEnvironment } from "./attempt_environment.ts";
import { convertBodyError, isNotRun } from "./attempt_outcome.ts";
import type { CallEntry } from "./call_entry.ts";
import { convertEndpointError, convertRefusal } from "./refusal.ts";

/** All calls to plain services are charged the same cost. */
const CALL_COST_UNITS = 1;

/** The complete, buffered response of a plain service. */
export interface PlainAnswer {
  status: number;
  headers: HttpHeader[];
  body: Uint8Array;
}

/** Parameters of a plain call. */
export interface PlainRunOptions {
  environment: AttemptEnvironment;
  entry: CallEntry;
  /** Whether the call may be retried after an attempt that may have run. */
  repeatable: boolean;
}

/**
 * Runs a call until a complete response has been received or it must not be
 * retried any more. Returns a CallerError when there is no response.
 */
export async function runPlainCall(
  options: PlainRunOptions,
  signal: AbortSignal,
): Promise<Result<PlainAnswer, CallerError>> {
  const { environment, entry } = options;
  environment.retries.recordRequest(entry.call);
  for (;;) {
    const decision = await environment.dispatcher.waitForGrant(entry, signal);
    if (decision.kind === MessageKind.Refuse) {
      return err(convertRefusal(decision, entry));
    }
    const result = await runAttempt(options, signal);
    if (result.isOk()) {
      return ok(result.value);
    }
    if (result.error instanceof CallerError) {
      return err(result.error);
    }
    if (!await waitBeforeRetry(result.error, options, signal)) {
      return err(convertEndpointError(result.error, entry));
    }
  }
}

async function runAttempt(
  { environment, entry }: PlainRunOptions,
  signal: AbortSignal,
): Promise<Result<PlainAnswer, EndpointError | CallerError>> {
  const { method, path, headers, body } = entry.call;
  const attempt = new Attempt(environment, entry);
  attempt.updateCost(CALL_COST_UNITS);
  const content = { method, path, headers, body };
  const response = await attempt.send(content, signal);
  if (response.isErr()) {
    attempt.finishWithError(response.error);
    return err(response.error);
  }
  attempt.recordFirstByte();
  const { maximumPlainAnswerBytes } = environment.limits;
  const answer = await collectAnswer(response.value, maximumPlainAnswerBytes);
  if (answer.isErr() && answer.error instanceof EndpointError) {
    attempt.finishWithError(answer.error);
    return answer;
  }
  attempt.finish(AttemptOutcome.Completed);
  return answer;
}

/**
 * Buffers the response body; returns an error when it is cut off or too long.
 */
async function collectAnswer(
  response: EndpointResponse,
  maximumBytes: number,
): Promise<Result<PlainAnswer, EndpointError | CallerError>> {
  const body = new ByteCollector();
  try {
    for await (const chunk of response.body) {
      if (body.length + chunk.length > maximumBytes) {
        return err(createAnswerTooLongError(maximumBytes));
      }
      body.append(chunk);
    }
  } catch (thrown) {
    return err(convertBodyError(thrown));
  }
  return ok({
    status: response.status,
    headers: response.headers,
    body: body.take(),
  });
}

/**
 * Waits for the retry back-off. Returns false when a retry is ruled out by the
 * kind of call, the retry budget, the deadline or the caller.
 */
async function waitBeforeRetry(
  error: EndpointError,
  { environment, entry, repeatable }: PlainRunOptions,
  signal: AbortSignal,
): Promise<boolean> {
  const { clock, retries, logger, metrics } = environment;
  const isRepeatAllowed = repeatable || isNotRun(error);
  const isCancelled = error.kind === EndpointErrorKind.Cancelled;
  if (!isRepeatAllowed || isCancelled || signal.aborted) {
    return false;
  }
  // An attempt that was not run caused no load at an endpoint, so retrying it
  // is not charged to the retry budget.
  if (!isNotRun(error) && !retries.takeRetry(entry.call)) {
    return false;
  }
  const service = entry.call.service.name;
  metrics.retries.inc({ service, reason: error.kind });
  logger.info("retrying call at another endpoint", {
    request: entry.call.request,
    organisation: entry.call.organisation.name,
    service,
    reason: error.kind,
  });
  await clock.sleep(retries.computeDelay(entry.attemptsMade), signal);
  return clock.now() < entry.call.deadlineAt;
}

function createAnswerTooLongError(maximumBytes: number): CallerError {
  return new CallerError(
    CallerErrorKind.AnswerTooLong,
    `The service's response body is longer than ${maximumBytes} bytes`,
    { outcome: CallOutcome.Unknown },
  );
}
