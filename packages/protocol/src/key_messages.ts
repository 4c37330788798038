/** Messages that pass a call with an issued key to the VM that issued it. */

import type { MessageKind } from "./message_kind.ts";
import type { OrganisationId, ServiceId } from "./identifiers.ts";

/** One header of a call or an answer. */
export interface HeaderField {
  name: string;
  value: string;
}

/** Asks the VM that issued a key to run its call, or to join or replay it. */
export interface RunKeyMessage {
  kind: MessageKind.RunKey;
  /** Matches the result to this message; unique at the sender. */
  correlation: string;
  key: string;
  organisation: OrganisationId;
  service: ServiceId;
  method: string;
  path: string;
  headers: HeaderField[];
  body: Uint8Array;
}

/** What became of a call that must not be repeated. */
export enum KeyOutcome {
  /** The call ran; the answer is attached. */
  Answered = "answered",
  /** No attempt of this key ever left for an endpoint. */
  NotRun = "notRun",
  /** The call may have run. */
  Unknown = "unknown",
  Refused = "refused",
}

/** The result of a call that was passed on. */
export interface KeyResultMessage {
  kind: MessageKind.KeyResult;
  correlation: string;
  outcome: KeyOutcome;
  status: number;
  headers: HeaderField[];
  body: Uint8Array;
  /** Why, for outcomes other than an answer. */
  reason: string;
}
