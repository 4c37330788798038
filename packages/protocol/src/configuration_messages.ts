/** Messages that spread configuration changes between peers. */

import type { MessageKind } from "./message_kind.ts";

/** Tells a peer which version the sender has come to. */
export interface AnnounceVersionMessage {
  kind: MessageKind.AnnounceVersion;
  version: number;
}

/** Where the receiver of a snapshot has come to. */
export interface SnapshotPosition {
  version: number;
  /** How many bytes it has already. */
  offset: number;
}

/** Asks a peer for the changes after a version; one message is the answer. */
export interface RequestChangesMessage {
  kind: MessageKind.RequestChanges;
  /** Matches the answer to this message; unique at the sender. */
  request: number;
  afterVersion: number;
  /** Set to go on with a snapshot of which a part has come. */
  snapshot?: SnapshotPosition;
}

/** One accepted change as the log holds it. */
export interface EncodedChange {
  version: number;
  /** The change as JSON text, exactly as in the platform's table. */
  body: string;
}

/** A part of a whole configuration as compressed JSON text. */
export interface SnapshotPart extends SnapshotPosition {
  /** The length of all parts together. */
  totalBytes: number;
  content: Uint8Array;
}

/** Carries the next changes in order, as many as fit into one message. */
export interface ChangesMessage {
  kind: MessageKind.Changes;
  request: number;
  /** The version that the sender has. */
  version: number;
  /** Sent instead of changes when the sender lacks the first of them. */
  snapshot?: SnapshotPart;
  changes: EncodedChange[];
}
