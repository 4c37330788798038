/** Messages that replicate configuration changes between peers. */

import type { MessageKind } from "./message_kind.ts";

/** Announces the sender's current configuration version to a peer. */
export interface AnnounceVersionMessage {
  kind: MessageKind.AnnounceVersion;
  version: number;
}

/** The position up to which a snapshot has been received. */
export interface SnapshotPosition {
  version: number;
  /** Number of bytes received. */
  offset: number;
}

/** Requests the changes after a version; the peer replies with one message. */
export interface RequestChangesMessage {
  kind: MessageKind.RequestChanges;
  /** Correlates the reply with this request; unique at the sender. */
  request: number;
  afterVersion: number;
  /** Set to resume a partially received snapshot. */
  snapshot?: SnapshotPosition;
}

/** One committed change, as stored in the change log. */
export interface EncodedChange {
  version: number;
  /** The change as JSON text, identical to the platform's table. */
  body: string;
}

/** A chunk of a full configuration snapshot, as compressed JSON text. */
export interface SnapshotPart extends SnapshotPosition {
  /** Total size of the snapshot. */
  totalBytes: number;
  content: Uint8Array;
}

/** Carries the next changes in order, as many as fit in one message. */
export interface ChangesMessage {
  kind: MessageKind.Changes;
  request: number;
  /** The sender's current version. */
  version: number;
  /** Sent in place of changes when the sender no longer has the first of them. */
  snapshot?: SnapshotPart;
  changes: EncodedChange[];
}
