/** Runs calls with idempotency keys, for local callers and for other VMs. */

import {
  type Execution,
  ExecutionKind,
  type KeyedCall,
  type KeyedCallResult,
  type KeyedCalls,
  type KeyError,
} from "@rattanvane/once";
import {
  CallerError,
  CallerErrorKind,
  CallOutcome,
} from "../caller/caller_error.ts";
import { computeFingerprint, type IngressCall } from "./ingress_call.ts";
import type { IngressContext } from "./ingress_context.ts";
import { createRequestId } from "../caller/request_id.ts";
import { KeyedCallRunner } from "./keyed_call_runner.ts";
import { type PlainAnswer, runPlainCall } from "./plain_run.ts";

/** Dependencies of the runner. */
export interface OnceCallRunnerOptions {
  context: IngressContext;
  calls: Pick<KeyedCalls, "run" | "issueKey">;
}

const OUTCOMES: Record<KeyError["outcome"], CallOutcome> = {
  [ExecutionKind.NotRun]: CallOutcome.NotRun,
  [ExecutionKind.Unknown]: CallOutcome.Unknown,
};

/** Runs the call of each key at most once, by means of KeyedCalls. */
export class OnceCallRunner extends KeyedCallRunner {
  readonly #options: OnceCallRunnerOptions;

  constructor(options: OnceCallRunnerOptions) {
    super();
    this.#options = options;
  }

  override issueKey(organisation: string): string {
    return this.#options.calls.issueKey(organisation);
  }

  override async run(
    call: IngressCall,
    { key }: { key: string },
    signal: AbortSignal,
  ): Promise<PlainAnswer> {
    const keyedCall: KeyedCall = {
      key,
      organisation: call.organisation.name,
      service: call.service.name,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
    };
    const result = await this.#options.calls.run(
      keyedCall,
      (lifetime) => this.#execute(call, lifetime),
      signal,
    );
    const { metrics } = this.#options.context.options.environment;
    metrics.keyedCalls.inc({ outcome: formatOutcomeLabel(result) });
    return convertKeyedResult(result);
  }

  /** Runs a call that another VM forwarded to this one. */
  async runForwarded(
    keyedCall: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    return await this.#options.calls.run(
      keyedCall,
      (lifetime) => this.#executeForwarded(keyedCall, lifetime),
      signal,
    );
  }

  async #executeForwarded(
    keyedCall: KeyedCall,
    signal: AbortSignal,
  ): Promise<Execution> {
    const { clock, limits, findConfiguration } = this.#options.context.options;
    const configuration = findConfiguration();
    const organisation = configuration?.organisations.get(
      keyedCall.organisation,
    );
    const service = configuration?.services.get(keyedCall.service);
    if (organisation === undefined || service === undefined) {
      return {
        kind: ExecutionKind.NotRun,
        reason:
          "the organisation or service is missing from this VM's configuration",
      };
    }
    const { method, path, headers, body } = keyedCall;
    return await this.#execute({
      request: createRequestId(),
      organisation,
      service,
      method,
      path,
      headers,
      body,
      deadlineAt: clock.now() + limits.defaultDeadlineMilliseconds,
      hintedCost: 0,
      fingerprint: computeFingerprint(service.name, { method, path, body }),
      prefix: "",
    }, signal);
  }

  async #execute(call: IngressCall, signal: AbortSignal): Promise<Execution> {
    const { context } = this.#options;
    const { environment } = context.options;
    const result = await context.track(
      call,
      (entry) =>
        runPlainCall({ environment, entry, repeatable: false }, signal),
    );
    if (result.isOk()) {
      return { kind: ExecutionKind.Answered, ...result.value };
    }
    const { error } = result;
    if (error.outcome === CallOutcome.Unknown) {
      return { kind: ExecutionKind.Unknown, reason: error.message };
    }
    const execution: Execution = {
      kind: ExecutionKind.NotRun,
      reason: error.message,
    };
    if (error.retryAfterMilliseconds !== undefined) {
      execution.retryAfterMilliseconds = error.retryAfterMilliseconds;
    }
    return execution;
  }
}

/**
 * Returns the outcome label for metrics. A refused key has its own label, since
 * no part of the call was sent.
 */
function formatOutcomeLabel(result: KeyedCallResult): string {
  return result.isErr() ? "key_refused" : result.value.execution.kind;
}

/** Returns the response of a call that ran; throws a CallerError otherwise. */
function convertKeyedResult(result: KeyedCallResult): PlainAnswer {
  if (result.isErr()) {
    const { problem, remedy, outcome } = result.error;
    throw new CallerError(CallerErrorKind.IdempotencyKeyRefused, problem, {
      remedy,
      outcome: OUTCOMES[outcome],
    });
  }
  const { execution } = result.value;
  switch (execution.kind) {
    case ExecutionKind.Answered:
      return execution;
    case ExecutionKind.NotRun:
      throw new CallerError(
        CallerErrorKind.CallNotRun,
        `The call was not run: ${execution.reason}`,
        execution.retryAfterMilliseconds === undefined
          ? {}
          : { retryAfterMilliseconds: execution.retryAfterMilliseconds },
      );
    case ExecutionKind.Unknown:
      throw new CallerError(
        CallerErrorKind.CallUnknown,
        `The call may have run: ${execution.reason}`,
        { outcome: CallOutcome.Unknown },
      );
  }
}
