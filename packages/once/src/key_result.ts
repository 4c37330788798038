/** Converts results of keyed calls to and from messages between VMs. */

import {
  KeyOutcome,
  type KeyResultMessage,
  MessageKind,
} from "@rattanvane/protocol";
import { err, ok } from "neverthrow";
import {
  createUnknown,
  type Execution,
  ExecutionKind,
  type KeyedCallResult,
} from "./execution.ts";
import { isKeyErrorKind, KeyError } from "./key_error.ts";

/** Converts a result to the message that transports it. */
export function convertToMessage(
  result: KeyedCallResult,
  correlation: string,
): KeyResultMessage {
  const message: KeyResultMessage = {
    kind: MessageKind.KeyResult,
    correlation,
    outcome: KeyOutcome.Unknown,
    status: 0,
    headers: [],
    body: new Uint8Array(),
    reason: "",
  };
  if (result.isErr()) {
    const { kind } = result.error;
    return { ...message, outcome: KeyOutcome.Refused, reason: kind };
  }
  const { execution } = result.value;
  switch (execution.kind) {
    case ExecutionKind.Answered: {
      const { status, headers, body } = execution;
      const outcome = KeyOutcome.Answered;
      return { ...message, outcome, status, headers, body };
    }
    case ExecutionKind.NotRun: {
      const { reason } = execution;
      return { ...message, outcome: KeyOutcome.NotRun, reason };
    }
    case ExecutionKind.Unknown:
      return { ...message, reason: execution.reason };
  }
}

/** Converts a message to a result; an unrecognised outcome becomes unknown. */
export function convertFromMessage(
  message: KeyResultMessage,
  key: string,
): KeyedCallResult {
  if (message.outcome === KeyOutcome.Refused) {
    return isKeyErrorKind(message.reason)
      ? err(new KeyError(message.reason, key))
      : ok({ execution: createUnknown(message.reason), replayed: false });
  }
  return ok({ execution: convertExecution(message), replayed: true });
}

function convertExecution(message: KeyResultMessage): Execution {
  const { status, headers, body, reason } = message;
  switch (message.outcome) {
    case KeyOutcome.Answered:
      return { kind: ExecutionKind.Answered, status, headers, body };
    case KeyOutcome.NotRun:
      return { kind: ExecutionKind.NotRun, reason };
    default:
      return createUnknown(reason);
  }
}
