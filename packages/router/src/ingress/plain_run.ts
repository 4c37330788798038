/** Runs calls of plain services. */

import { Buffer } from "node:buffer";
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
import type { LedgerEntry } from "./ledger_entry.ts";
import { convertEndpointError, convertRefusal } from "./refusal.ts";

/** Each call of a plain service costs the same. */
const CALL_COST = 1;

/** A whole answer of a plain service. */
export interface PlainAnswer {
  status: number;
  headers: HttpHeader[];
  body: Uint8Array;
}

/** What running a plain call needs. */
export interface PlainRunOptions {
  environment: AttemptEnvironment;
  entry: LedgerEntry;
  /** Without it, an attempt that may have run is the last one. */
  repeatable: boolean;
}

/** Runs a call until there is a whole answer or it must not be tried again. */
export async function runPlainCall(
  options: PlainRunOptions,
  signal: AbortSignal,
): Promise<Result<PlainAnswer, CallerError>> {
  const { environment, entry } = options;
  environment.retries.countRequest(entry.call);
  for (;;) {
    const answer = await environment.dispatcher.waitForGrant(entry, signal);
    if (answer.kind === MessageKind.Refuse) {
      return err(convertRefusal(answer, entry));
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
  attempt.updateCost(CALL_COST);
  const content = { method, path, headers, body };
  const opened = await attempt.send(content, signal);
  if (opened.isErr()) {
    attempt.finishWithError(opened.error);
    return err(opened.error);
  }
  attempt.markFirstByte();
  const { plainAnswerBytes } = environment.limits;
  const whole = await collectAnswer(opened.value, plainAnswerBytes);
  if (whole.isErr() && whole.error instanceof EndpointError) {
    attempt.finishWithError(whole.error);
    return whole;
  }
  attempt.finish(AttemptOutcome.Completed);
  return whole;
}

async function collectAnswer(
  response: EndpointResponse,
  maximumBytes: number,
): Promise<Result<PlainAnswer, EndpointError | CallerError>> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of response.body) {
      bytes += chunk.length;
      if (bytes > maximumBytes) {
        return err(createTooLongError(maximumBytes));
      }
      chunks.push(chunk);
    }
  } catch (thrown) {
    return err(convertBodyError(thrown));
  }
  return ok({
    status: response.status,
    headers: response.headers,
    body: Buffer.concat(chunks),
  });
}

async function waitBeforeRetry(
  error: EndpointError,
  { environment, entry, repeatable }: PlainRunOptions,
  signal: AbortSignal,
): Promise<boolean> {
  const { clock, retries, logger, metrics } = environment;
  const allowed = repeatable || isNotRun(error);
  const cancelled = error.kind === EndpointErrorKind.Cancelled;
  if (!allowed || cancelled || signal.aborted) {
    return false;
  }
  // What was not run put no load on an endpoint, so it costs no budget.
  if (!isNotRun(error) && !retries.takeRetry(entry.call)) {
    return false;
  }
  const service = entry.call.service.name;
  metrics.retries.inc({ service, reason: error.kind });
  logger.info("retries a call at another endpoint", {
    request: entry.call.request,
    organisation: entry.call.organisation.name,
    service,
    reason: error.kind,
  });
  await clock.sleep(retries.computeDelay(entry.attemptsMade), signal);
  return clock.now() < entry.call.deadlineAt;
}

function createTooLongError(maximumBytes: number): CallerError {
  return new CallerError(
    CallerErrorKind.AnswerTooLong,
    `The service's answer is longer than ${maximumBytes} bytes`,
    { outcome: CallOutcome.Unknown },
  );
}
