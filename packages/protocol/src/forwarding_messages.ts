/** Messages between VMs that serve forwarding routes. */

import type { EndpointId, OrganisationId } from "./identifiers.ts";
import type { SuspectFingerprint } from "./membership_messages.ts";
import type { MessageKind } from "./message_kind.ts";

/** What one VM runs at an endpoint. */
export interface EndpointUse {
  endpoint: EndpointId;
  running: number;
  /** Prompt tokens of attempts that have not begun to answer. */
  prefillTokens: number;
  /** These, and the prompt tokens of attempts that were sent just now. */
  recentTokens: number;
  /** How long ago the endpoint was found to be down; not set for never. */
  downAgeMilliseconds?: number;
}

/** What an organisation wanted from one VM in the current quota period. */
export interface OrganisationUse {
  organisation: OrganisationId;
  /** Cost units of all requests. */
  asked: number;
  /** Cost units of the requests that were sent to an endpoint. */
  granted: number;
}

/** How current a VM's copy of a followed table is. */
export interface TableAge {
  /** The copy holds all changes up to this version. */
  version: number;
  digest: string;
  /** How long before this message the store was asked, in milliseconds. */
  ageMilliseconds: number;
}

/** Tells a peer what this VM runs and knows. */
export interface ForwardingStateMessage {
  kind: MessageKind.ForwardingState;
  sequence: number;
  /** The receiver's newest message that the sender has seen; 0 for none. */
  echo: number;
  endpoints: EndpointUse[];
  organisations: OrganisationUse[];
  suspects: SuspectFingerprint[];
  /** Not set before the table was read. */
  configuration?: TableAge;
}

/** Asks a peer for its copy of a followed table. */
export interface RequestTableMessage {
  kind: MessageKind.RequestTable;
  table: string;
}

/** One row of a copied table. */
export interface CopiedRow {
  key: string;
  version: number;
  value: Uint8Array;
}

/** A peer's copy of a followed table. */
export interface TableCopyMessage {
  kind: MessageKind.TableCopy;
  table: string;
  /** The copy holds all changes up to this version. */
  version: number;
  rows: CopiedRow[];
}
