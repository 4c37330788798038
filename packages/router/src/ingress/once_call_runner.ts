/** Runs calls that must not be repeated, for callers and for other VMs. */

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

/** What the runner works with. */
export interface OnceCallRunnerOptions {
  context: IngressContext;
  calls: Pick<KeyedCalls, "run" | "issueKey">;
}

const OUTCOMES: Record<KeyError["outcome"], CallOutcome> = {
  [ExecutionKind.NotRun]: CallOutcome.NotRun,
  [ExecutionKind.Unknown]: CallOutcome.Unknown,
};

/** Gives the calls of each key to the at-most-once part. */
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
    const keyed: KeyedCall = {
      key,
      organisation: call.organisation.name,
      service: call.service.name,
      method: call.method,
      path: call.path,
      headers: call.headers,
      body: call.body,
    };
    const result = await this.#options.calls.run(
      keyed,
      (lifetime) => this.#execute(call, lifetime),
      signal,
    );
    const { metrics } = this.#options.context.options.environment;
    metrics.keyedCalls.inc({ outcome: describeOutcome(result) });
    return readAnswer(result);
  }

  /** Runs a call that another VM passed on to this one. */
  async runForwarded(
    keyed: KeyedCall,
    signal: AbortSignal,
  ): Promise<KeyedCallResult> {
    return await this.#options.calls.run(
      keyed,
      (lifetime) => this.#executeForwarded(keyed, lifetime),
      signal,
    );
  }

  async #executeForwarded(
    keyed: KeyedCall,
    signal: AbortSignal,
  ): Promise<Execution> {
    const { clock, limits, findConfiguration } = this.#options.context.options;
    const configuration = findConfiguration();
    const organisation = configuration?.organisations.get(keyed.organisation);
    const service = configuration?.services.get(keyed.service);
    if (organisation === undefined || service === undefined) {
      return {
        kind: ExecutionKind.NotRun,
        reason: "the organisation or service is not in this VM's configuration",
      };
    }
    const { method, path, headers, body } = keyed;
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
    const result = await context.hold(
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

/** A refused key has an outcome of its own, as nothing of the call was sent. */
function describeOutcome(result: KeyedCallResult): string {
  return result.isErr() ? "key_refused" : result.value.execution.kind;
}

/** Returns the answer of a call that ran; throws a CallerError otherwise. */
function readAnswer(result: KeyedCallResult): PlainAnswer {
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
