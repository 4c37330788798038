/** Messages between VMs that serve forwarding routes. */

import type {
  EndpointId,
  OrganisationId,
  ServiceId,
  VmContact,
} from "./identifiers.ts";
import type { SuspectFingerprint } from "./membership_messages.ts";
import type { MessageKind } from "./message_kind.ts";

/** What an endpoint reported of itself in an answer. */
export interface EndpointReport {
  /** Requests of all VMs that run or wait there. */
  running: number;
  /** How long work takes there, as a multiple of the usual time. */
  slowdown: number;
  /** Time since the report arrived. */
  ageMilliseconds: number;
}

/** One VM's current load on an endpoint. */
export interface EndpointUse {
  endpoint: EndpointId;
  running: number;
  /** Prompt tokens of attempts whose response has not started. */
  prefillTokens: number;
  /** The above plus the prompt tokens of recently sent attempts. */
  recentTokens: number;
  /** Time since the endpoint was last detected as down; unset if never. */
  downAgeMilliseconds?: number;
  /** The last one that the sender received itself; unset for none lately. */
  report?: EndpointReport;
}

/** An organisation's demand at one VM in the current quota period. */
export interface OrganisationUse {
  organisation: OrganisationId;
  /** Cost of all requests, in cost units. */
  asked: number;
  /** Cost of the requests that were sent to an endpoint, in cost units. */
  granted: number;
}

/** The version and age of a VM's replica of a table. */
export interface TableAge {
  /** The replica includes all changes up to this version. */
  version: number;
  /** The era of the store that gave that version out; unset for the first. */
  era?: number;
  digest: string;
  /** Time between the last store query and this message, in milliseconds. */
  ageMilliseconds: number;
}

/** An endpoint's statement that its process is about to shut down. */
export interface EndpointDeparture {
  endpoint: EndpointId;
  /** Start time of the process; unset if the sender does not know it. */
  startedAtUnixMilliseconds?: number | undefined;
}

/** Tells a member's scheduler of an endpoint that is about to shut down. */
export interface EndpointDepartureMessage extends EndpointDeparture {
  kind: MessageKind.EndpointDeparture;
}

/** What an endpoint's process last stated about the requests that it takes. */
export interface EndpointLimit {
  endpoint: EndpointId;
  /** Start time of the process; unset if the sender does not know it. */
  startedAtUnixMilliseconds?: number | undefined;
  /** Requests a second from all VMs together; unset for no limit. */
  requestsPerSecond?: number | undefined;
  /** Time since the statement was read. */
  ageMilliseconds: number;
}

/** Tells a member's scheduler of an endpoint's limit. */
export interface EndpointLimitMessage extends EndpointLimit {
  kind: MessageKind.EndpointLimit;
}

/** A prompt part of requests without a response when an endpoint crashed. */
export interface ReportedPart {
  part: string;
  /** Time since the latest of the requests was sent. */
  sentAgeMilliseconds: number;
  /** The position of the part in the prompt. */
  depth: number;
}

/** A crash of an endpoint's process, as one VM observed it. */
export interface CrashReport {
  endpoint: EndpointId;
  startedAtUnixMilliseconds: number;
  ageMilliseconds: number;
  parts: ReportedPart[];
}

/** A prompt part to which an endpoint responded after a crash. */
export interface SoundPart {
  part: string;
  /** Time since the response began. */
  ageMilliseconds: number;
}

/** A place that a scheduler keeps for a caller that it refused. */
export interface KeptPlaceReport {
  /** The hash of the request. */
  key: number;
  /** Time until the caller should return. */
  returnMilliseconds: number;
}

/** Recent answers of a service's former or new version on one route. */
export interface VersionStatistics {
  route: string;
  /** The former version, or one of two halves of the new one's endpoints. */
  side: number;
  answered: number;
  failed: number;
  /** Answers by the time to their first byte, in buckets. */
  first: number[];
  /** Answers by their whole duration. */
  whole: number[];
}

/** What a process tells the owner of a roll-out. */
export interface RolloutReport {
  service: ServiceId;
  generation: number;
  /** Identifies the process among all of the fleet. */
  process: string;
  /** Requests that it has sent to endpoints of the service. */
  reached: number;
  /** The part of them that went to the new version. */
  exposed: number;
  /** Answers of the new version. */
  answered: number;
  /** The term and sequence number of the newest grant that it follows. */
  grantTerm: number;
  grantSequence: number;
  /** Whether an owner has found the version to be worse. */
  isSuspect: boolean;
  /** Unset in most messages. */
  statistics?: VersionStatistics[];
}

/** How many attempts a process may make at a new version, in all. */
export interface RolloutAllowance {
  process: string;
  attempts: number;
}

/** What the owner of a roll-out permits; ends unless it is repeated. */
export interface RolloutGrant {
  service: ServiceId;
  generation: number;
  term: number;
  sequence: number;
  /** The fraction of requests that the new version is offered. */
  share: number;
  /** Whether the allowances do not apply any more. */
  isUnlimited: boolean;
  /** Whether the owner has found the version to be worse. */
  isSuspect: boolean;
  allowances: RolloutAllowance[];
}

/** What a scheduler knows of roll-outs. */
export interface RolloutNews {
  /** Encoded records of the store. */
  records: Uint8Array[];
  reports: RolloutReport[];
  grants: RolloutGrant[];
}

/** Shares a scheduler's load, demand and crash observations with another. */
export interface ForwardingStateMessage {
  kind: MessageKind.ForwardingState;
  sequence: number;
  /** Sequence number of the latest message received from the peer; 0 if none. */
  echo: number;
  endpoints: EndpointUse[];
  organisations: OrganisationUse[];
  suspects: SuspectFingerprint[];
  /** Unset for none; so are the sound parts. */
  crashes?: CrashReport[];
  soundParts?: SoundPart[];
  /** Registered endpoints that are about to shut down; unset for none. */
  departures?: EndpointDeparture[];
  /** The endpoints' limits, and those that were lifted lately. */
  limits?: EndpointLimit[];
  /** Places that were kept since the sender's last message; unset for none. */
  places?: KeptPlaceReport[];
  /** Unset until the table has been read. */
  configuration?: TableAge;
  /** The same for the endpoints' registrations. */
  registrations?: TableAge;
  /** The schedulers of the sender's zone, this one included. */
  schedulers?: VmContact[];
  /** The number of live VMs in the sender's zone. */
  zoneVms?: number;
  /** The digest of these VMs. */
  zoneDigest?: string;
  /** Unset while no roll-out is known. */
  rollouts?: RolloutNews;
}

/** Requests a peer's replica of a table. */
export interface RequestTableMessage {
  kind: MessageKind.RequestTable;
  table: string;
}

/** One row of a table replica. */
export interface CopiedRow {
  key: string;
  version: number;
  value: Uint8Array;
}

/** Carries a peer's replica of a table. */
export interface TableCopyMessage {
  kind: MessageKind.TableCopy;
  table: string;
  /** The replica includes all changes up to this version. */
  version: number;
  /** The era of the store that gave that version out; unset for the first. */
  era?: number;
  rows: CopiedRow[];
  /** For how long the sender still holds removals back; unset if unknown. */
  holdMilliseconds?: number;
}
