/** Messages that spread configuration changes between peers. */

import type { MessageKind } from "./message_kind.ts";

/** Asks a peer for the changes after a version. */
export interface RequestChangesMessage {
  kind: MessageKind.RequestChanges;
  afterVersion: number;
}

/** One accepted change as the log holds it. */
export interface EncodedChange {
  version: number;
  /** The change as JSON text, exactly as in the platform's table. */
  body: string;
}

/** Carries changes in order; the last part of a long answer has `more` unset. */
export interface ChangesMessage {
  kind: MessageKind.Changes;
  /** A whole configuration as JSON text, when the log was too long. */
  snapshot?: EncodedChange;
  changes: EncodedChange[];
  more: boolean;
}
