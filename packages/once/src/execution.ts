/** Calls that run at most once, and their outcomes. */

import type {
  HeaderField,
  OrganisationId,
  ServiceId,
} from "@rattanvane/protocol";
import { describeError } from "@rattanvane/base";
import type { Result } from "neverthrow";
import type { KeyError } from "./key_error.ts";

/** The outcome of a call, as far as it is known. */
export enum ExecutionKind {
  /** The call ran, and its answer was received. */
  Answered = "answered",
  /** No attempt of the key was ever sent to an endpoint. */
  NotRun = "not_run",
  /** The call may have run. */
  Unknown = "unknown",
}

/** A call that ran, with its complete answer. */
export interface AnsweredExecution {
  kind: ExecutionKind.Answered;
  status: number;
  headers: HeaderField[];
  body: Uint8Array;
}

/** A call that did not run. */
export interface NotRunExecution {
  kind: ExecutionKind.NotRun;
  reason: string;
  retryAfterMilliseconds?: number;
}

/** A call that may have run. */
export interface UnknownExecution {
  kind: ExecutionKind.Unknown;
  reason: string;
}

/** The outcome of a call. */
export type Execution =
  | AnsweredExecution
  | NotRunExecution
  | UnknownExecution;

/** A call with an idempotency key, as the ingress received it. */
export interface KeyedCall {
  /** A key that the caller generated or that a VM issued. */
  key: string;
  organisation: OrganisationId;
  service: ServiceId;
  method: string;
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
  /** Whether another VM forwarded the call; it is not forwarded again. */
  forwarded?: boolean;
}

/** The outcome that a caller receives. */
export interface KeyedExecution {
  execution: Execution;
  /** Whether the outcome is that of an earlier or concurrent call with the key. */
  replayed: boolean;
}

/** An outcome, or the reason why the key cannot be used for this call. */
export type KeyedCallResult = Result<KeyedExecution, KeyError>;

/**
 * Executes a call; at most one attempt is sent to an endpoint. The signal is
 * that of the process: an execution goes on when its caller disconnects, since
 * the caller's retry needs the result.
 */
export type Execute = (signal: AbortSignal) => Promise<Execution>;

/** Creates the outcome of a call that may have run; states why this is unknown. */
export function createUnknown(reason: string): UnknownExecution {
  return { kind: ExecutionKind.Unknown, reason };
}

/**
 * Runs an execution and converts an unexpected error to an unknown outcome:
 * the call may have been sent before the error, so it must not be reported as
 * not run.
 */
export async function runExecution(
  execute: Execute,
  signal: AbortSignal,
): Promise<Execution> {
  try {
    return await execute(signal);
  } catch (thrown) {
    return createUnknown(
      `the router failed with an internal error: ${describeError(thrown)}`,
    );
  }
}
