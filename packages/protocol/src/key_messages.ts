/** Messages that forward a call with an idempotency key to the VM that issued it. */

import type { MessageKind } from "./message_kind.ts";
import type { OrganisationId, ServiceId } from "./identifiers.ts";

/** One header of a request or a response. */
export interface HeaderField {
  name: string;
  value: string;
}

/**
 * Requests that the VM that issued a key run its call, join the call in progress,
 * or replay its stored response.
 */
export interface RunKeyMessage {
  kind: MessageKind.RunKey;
  /** Correlates the result with this request; unique at the sender. */
  correlation: string;
  key: string;
  organisation: OrganisationId;
  service: ServiceId;
  method: string;
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
}

/** The outcome of a call that must run at most once. */
export enum KeyOutcome {
  /** The call ran; the response is attached. */
  Answered = "answered",
  /** No attempt with this key was ever sent to an endpoint. */
  NotRun = "notRun",
  /** The call may have run. */
  Unknown = "unknown",
  Refused = "refused",
}

/** The result of a forwarded call. */
export interface KeyResultMessage {
  kind: MessageKind.KeyResult;
  correlation: string;
  outcome: KeyOutcome;
  status: number;
  headers: HeaderField[];
  body: Uint8Array;
  /** The reason for any outcome other than `Answered`. */
  reason: string;
}
