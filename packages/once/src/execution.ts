/** Calls that must not be repeated, and what became of them. */

import type {
  HeaderField,
  OrganisationId,
  ServiceId,
} from "@rattanvane/protocol";
import { describeError } from "@rattanvane/base";
import type { Result } from "neverthrow";
import type { KeyError } from "./key_error.ts";

/** What is known of a call. */
export enum ExecutionKind {
  /** It ran, and its answer is here. */
  Answered = "answered",
  /** No attempt of its key ever left for an endpoint. */
  NotRun = "not_run",
  /** It may have run. */
  Unknown = "unknown",
}

/** A call that ran, with its whole answer. */
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

/** What became of a call. */
export type Execution =
  | AnsweredExecution
  | NotRunExecution
  | UnknownExecution;

/** A call with a key, as the ingress took it. */
export interface KeyedCall {
  /** A caller's own key, or one that a VM issued. */
  key: string;
  organisation: OrganisationId;
  service: ServiceId;
  method: string;
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
  /** Another VM passed the call on; it is not passed on again. */
  forwarded?: boolean;
}

/** The outcome that a caller is told. */
export interface KeyedExecution {
  execution: Execution;
  /** Whether the answer belongs to an earlier or joined call of the key. */
  replayed: boolean;
}

/** An outcome, or why the key cannot be used for this call. */
export type KeyedCallResult = Result<KeyedExecution, KeyError>;

/**
 * Sends at most one attempt that leaves. The signal is that of the process: a
 * caller who hangs up does not end an execution, for its repeat wants the
 * result.
 */
export type Execute = (signal: AbortSignal) => Promise<Execution>;

/** Creates the outcome of a call that may have run. */
export function createUnknown(reason: string): UnknownExecution {
  return { kind: ExecutionKind.Unknown, reason };
}

/**
 * Runs an execution whose fault must not look as if nothing had been sent:
 * after an unexpected error the call may have run.
 */
export async function runExecution(
  execute: Execute,
  signal: AbortSignal,
): Promise<Execution> {
  try {
    return await execute(signal);
  } catch (thrown) {
    return createUnknown(`the router failed: ${describeError(thrown)}`);
  }
}
