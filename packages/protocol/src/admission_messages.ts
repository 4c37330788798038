/**
 * Messages between a VM that holds callers' requests, the member, and the VM
 * that schedules them.
 */

import type {
  EndpointId,
  OrganisationId,
  RequestId,
  ServiceId,
  VmContact,
  ZoneId,
} from "./identifiers.ts";
import type {
  CopiedRow,
  EndpointReport,
  TableAge,
} from "./forwarding_messages.ts";
import type { MessageKind } from "./message_kind.ts";

/** Identifies a request at its scheduler; unique among those of its member. */
export type EntryId = string;

/** The size and shared parts of a request's prompt. */
export interface PromptDescription {
  tokens: number;
  outputTokens: number;
  /** Id and number of tokens of each part, in prompt order. */
  parts: [string, number][];
}

/** Submits a request, without its body, to a scheduler. */
export interface SubmitRequestMessage {
  kind: MessageKind.SubmitRequest;
  entry: EntryId;
  /** The id that the caller gave the request, for logs; may be empty. */
  request: RequestId;
  service: ServiceId;
  organisation?: OrganisationId;
  priority: number;
  fingerprint: string;
  objectiveMilliseconds: number;
  pauseMilliseconds: number;
  /** The route's name; unset unless the service's versions are compared. */
  route?: string;
  /** Time since the request arrived at its VM. */
  waitedMilliseconds: number;
  /** Time until its final response is due. */
  remainingMilliseconds: number;
  prompt?: PromptDescription;
  /** Endpoints that failed the request before. */
  avoid: EndpointId[];
  /** Endpoints that must not get requests of this member; unset for none. */
  excluded?: EndpointId[];
  /** The request was submitted before and is counted already. */
  isRepeated: boolean;
  /** Another attempt of the request is running; unset otherwise. */
  isHedge?: boolean;
  /** The zone of the VM that received it; unset for no cost of other zones. */
  originZone?: ZoneId;
  bodyBytes?: number;
}

/** Withdraws a request; a grant that was already sent is void. */
export interface WithdrawRequestMessage {
  kind: MessageKind.WithdrawRequest;
  entry: EntryId;
}

/** Acknowledges a request that waits for an endpoint. */
export interface RequestQueuedMessage {
  kind: MessageKind.RequestQueued;
  entry: EntryId;
}

/** Grants a request one attempt at an endpoint. */
export interface GrantRequestMessage {
  kind: MessageKind.GrantRequest;
  entry: EntryId;
  endpoint: EndpointId;
  zone: ZoneId;
  host: string;
  port: number;
  waitedMilliseconds: number;
  predictedMilliseconds: number;
  ownTokens: number;
  aheadTokens: number;
  missingTokens: number;
  isLong: boolean;
  running: number;
  /** After this time without a first byte the attempt is slow; may be unset. */
  slowMilliseconds?: number;
}

/** Refuses a request, which has not run. */
export interface RefuseRequestMessage {
  kind: MessageKind.RefuseRequest;
  entry: EntryId;
  reason: string;
  retryAfterMilliseconds: number;
  waitedMilliseconds: number;
  /** For logs; undefined if the request was not queued. */
  cause?: { usage: string; limits?: string };
}

/** Reports that the response of a granted attempt has begun. */
export interface AttemptAnsweringMessage {
  kind: MessageKind.AttemptAnswering;
  entry: EntryId;
  /** What the endpoint reported of itself; unset for nothing. */
  report?: EndpointReport;
}

/** Reports the end of a granted attempt. */
export interface AttemptEndedMessage {
  kind: MessageKind.AttemptEnded;
  entry: EntryId;
  outcome: string;
  isConnectionRefused: boolean;
  firstByteMilliseconds?: number;
  longestPauseMilliseconds: number;
  /** A report that was not sent when the response began. */
  report?: EndpointReport;
}

/** An attempt that its member still runs. */
export interface GrantedEntry {
  entry: EntryId;
  endpoint: EndpointId;
}

/**
 * Sent by each member to its scheduler periodically: keeps its entries alive
 * there and asks how fresh the scheduler's tables are.
 */
export interface MemberSyncMessage {
  kind: MessageKind.MemberSync;
  sequence: number;
  /** Entries that wait for a grant. */
  waiting: EntryId[];
  running: GrantedEntry[];
  /** The digest of the member's list of schedulers. */
  schedulersDigest: string;
  /** The digest of the live VMs in the member's view of its zone. */
  zoneDigest: string;
}

/** A scheduler's reply to {@link MemberSyncMessage}. */
export interface MemberSyncReplyMessage {
  kind: MessageKind.MemberSyncReply;
  /** Sequence number of the message that this one replies to. */
  sequence: number;
  /** False when the member is to choose another scheduler. */
  isScheduler: boolean;
  /** The number of VMs in the fleet; 0 if it is not known. */
  fleetVms: number;
  tables: NamedTableAge[];
  /** The schedulers of all zones, if the member's list differs. */
  schedulers?: VmContact[];
  /** Encoded records of roll-outs; unset for none. */
  rollouts?: Uint8Array[];
}

/** The age of one table's replica. */
export interface NamedTableAge extends TableAge {
  table: string;
}

/** Changed rows of a table, sent to members at once. */
export interface TableChangesMessage {
  kind: MessageKind.TableChanges;
  table: string;
  /** The digest of the rows to which the changes apply. */
  digestBefore: string;
  /** The digest of the changed rows. */
  digest: string;
  version: number;
  /** The era of the store that gave that version out; unset for the first. */
  era?: number;
  rows: CopiedRow[];
  removedKeys: string[];
  /** Whether removals may be due to an outage of the store. */
  isAfterOutage: boolean;
  /** For how long the sender still holds removals back; unset if unknown. */
  holdMilliseconds?: number;
}

/** Names the schedulers of the sender's zone, which is not one of them. */
export interface ZoneSchedulersMessage {
  kind: MessageKind.ZoneSchedulers;
  schedulers: VmContact[];
}
