/** Messages between ingresses and pool schedulers. */

import type {
  AttemptId,
  EndpointId,
  OrganisationId,
  PoolId,
  RequestId,
  ServiceId,
  Term,
  VmContact,
  VmId,
} from "./identifiers.ts";
import type { MessageKind } from "./message_kind.ts";

/** Metadata of a queued request; the request body stays at the ingress. */
export interface QueueEntry {
  request: RequestId;
  /** The VM whose ingress holds the client connection. */
  ingress: VmId;
  organisation: OrganisationId;
  /** Number of attempts sent to an endpoint so far. */
  attemptsMade: number;
  /** The caller's cost estimate, in cost units; 0 when unknown. */
  hintedCost: number;
  /** Remaining time that the request may spend in the queue, in milliseconds. */
  waitLimitMilliseconds: number;
  /** Time that the request has spent in the queue so far, in milliseconds. */
  waitedMilliseconds: number;
  /** Hash of the body; used to quarantine requests that crash endpoints. */
  fingerprint: string;
  /** Identifies the prompt prefix, for cache locality; may be empty. */
  prefix: string;
  /** Endpoints that failed this request and should be avoided. */
  avoid: EndpointId[];
}

/** Requests that a scheduler enqueue a request. */
export interface EnqueueMessage {
  kind: MessageKind.Enqueue;
  pool: PoolId;
  entry: QueueEntry;
}

/** Removes a request from the queue, or releases its slot before it has run. */
export interface CancelEntryMessage {
  kind: MessageKind.CancelEntry;
  pool: PoolId;
  request: RequestId;
}

/** Permits an ingress to send one attempt to one endpoint. */
export interface GrantMessage {
  kind: MessageKind.Grant;
  pool: PoolId;
  term: Term;
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  /** Minimum cost charged to the organisation until the actual cost exceeds it. */
  chargedCost: number;
  /** Reason for choosing this endpoint; recorded in the placement log line. */
  reason: PlacementReason;
}

/** Reason for which a scheduler chose an endpoint. */
export enum PlacementReason {
  CachedPrefix = "cachedPrefix",
  LeastLoaded = "leastLoaded",
  OtherZone = "otherZone",
  SuspectAlone = "suspectAlone",
}

/** Returns an unused grant; nothing was sent to the endpoint. */
export interface DeclineGrantMessage {
  kind: MessageKind.DeclineGrant;
  pool: PoolId;
  request: RequestId;
  attempt: AttemptId;
}

/** Reason for which a scheduler rejects a request. */
export enum RefusalReason {
  QueueFull = "queueFull",
  WaitedTooLong = "waitedTooLong",
  Quarantined = "quarantined",
  NoEndpoint = "noEndpoint",
  NotReachable = "notReachable",
}

/** Rejects a queued request. */
export interface RefuseMessage {
  kind: MessageKind.Refuse;
  pool: PoolId;
  request: RequestId;
  reason: RefusalReason;
  retryAfterMilliseconds: number;
}

/** The accumulated cost of a running attempt. */
export interface AttemptCost {
  attempt: AttemptId;
  /** Total cost of the attempt so far, in cost units. */
  cost: number;
  /** The endpoint's boot id as its answer told it; empty when unknown. */
  bootId: string;
}

/** Reports the cost of an ingress's running attempts in a pool. */
export interface ProgressMessage {
  kind: MessageKind.Progress;
  pool: PoolId;
  /** Attempts whose cost has changed since the last report. */
  attempts: AttemptCost[];
}

/** The outcome of an attempt, as observed by the ingress. */
export enum AttemptOutcome {
  Completed = "completed",
  /** The endpoint rejected the attempt without running it. */
  EndpointRefused = "endpointRefused",
  /** The endpoint was unreachable; nothing was sent. */
  NotSent = "notSent",
  /** The connection was lost while the attempt was running. */
  EndpointLost = "endpointLost",
  TimedOut = "timedOut",
  Cancelled = "cancelled",
}

/** Reports the end of an attempt and releases its slot. */
export interface FinishMessage {
  kind: MessageKind.Finish;
  pool: PoolId;
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  outcome: AttemptOutcome;
  /** The final cost, in cost units. */
  cost: number;
  /** Time to the first byte of the response; 0 when there was none. */
  firstByteMilliseconds: number;
  durationMilliseconds: number;
  /** The endpoint's boot id as its answer told it; empty when unknown. */
  bootId: string;
}

/** Requests a report of an ingress's queued and running requests in a pool. */
export interface RequestWorkMessage {
  kind: MessageKind.RequestWork;
  pool: PoolId;
  term: Term;
}

/** A running attempt, as reported by its ingress. */
export interface RunningAttempt {
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  organisation: OrganisationId;
  cost: number;
  fingerprint: string;
}

/** Lists an ingress's queued requests and running attempts in a pool. */
export interface WorkReportMessage {
  kind: MessageKind.WorkReport;
  pool: PoolId;
  waiting: QueueEntry[];
  running: RunningAttempt[];
}

/** Notifies an ingress that the VM it contacted does not schedule the pool. */
export interface NotSchedulerMessage {
  kind: MessageKind.NotScheduler;
  pool: PoolId;
  request: RequestId;
  /** The latest term known to the sender, if any. */
  term?: Term;
}

/** An organisation's service counter at a scheduler. */
export interface OrganisationCounter {
  organisation: OrganisationId;
  /** Service received, in cost units. */
  service: number;
}

/**
 * An organisation's virtual time: service received divided by its weight, plus
 * any amounts by which the scheduler raised the counter.
 */
export interface VirtualCounter {
  organisation: OrganisationId;
  virtual: number;
}

/** A scheduler's current estimate of an endpoint's concurrency limit. */
export interface EndpointLimitState {
  endpoint: EndpointId;
  bootId: string;
  limit: number;
  /** Requests in load reports that this scheduler did not place. */
  foreign: number;
}

/** A running attempt as transferred between schedulers in a handover. */
export interface HandedAttempt extends RunningAttempt {
  ingress: VmId;
}

/** Transfers a pool's scheduling state to its next scheduler. */
export interface HandoverMessage {
  kind: MessageKind.Handover;
  pool: PoolId;
  term: Term;
  /** The lowest counter among backlogged organisations. */
  virtualTime: number;
  counters: VirtualCounter[];
  /** Empty until the sender has learned which attempts are running. */
  limits: EndpointLimitState[];
  /** All running or granted attempts, for ingresses in every zone. */
  running: HandedAttempt[];
}

/** Reports the service that a scheduler has provided, by organisation. */
export interface CounterDeltaMessage {
  kind: MessageKind.CounterDelta;
  service: ServiceId;
  /** The pool whose scheduler provided the service. */
  pool: PoolId;
  /** The sender's term; totals restart at 0 in each term. */
  term: Term;
  /** Sequence number of the message within the sender's term, from 1. */
  sequence: number;
  /** Cumulative totals, not deltas, of the organisations that changed. */
  totals: OrganisationCounter[];
  /** Number of changed organisations deferred to a later message; unset if none. */
  unsent?: number;
  /** The lowest counter among backlogged organisations at the sender. */
  virtualTime: number;
  /** The organisation with that counter; unset while the queue is empty. */
  lowest?: OrganisationId;
  /** Number of requests queued at the sender. */
  waiting: number;
  /** Total concurrency limit of the sender's usable endpoints; 0 if none. */
  slots: number;
}

/** Offers free slots to a scheduler of the same service in another zone. */
export interface OfferMessage {
  kind: MessageKind.Offer;
  /** The pool that has free slots. */
  pool: PoolId;
  /** Number of idle slots. */
  freeSlots: number;
  /** Additional entries to prefetch, so that the next free slot is filled at once. */
  prefetch: number;
}

/** Moves queued entries to the pool that offered free slots. */
export interface MoveEntriesMessage {
  kind: MessageKind.MoveEntries;
  from: PoolId;
  to: PoolId;
  entries: QueueEntry[];
  /** Addresses at which the entries' ingresses are reachable from another zone. */
  contacts: VmContact[];
  /** The sender's counters for the entries' organisations. */
  counters: VirtualCounter[];
}

/** Confirms to the sender which moved entries the receiver has accepted. */
export interface EntriesTakenMessage {
  kind: MessageKind.EntriesTaken;
  /** The pool that sent the entries. */
  from: PoolId;
  to: PoolId;
  taken: RequestId[];
  /** Entries that the receiver did not accept; the sender queues them again. */
  returned: RequestId[];
}

/** Notifies an ingress which pool's scheduler now holds its entry. */
export interface EntryMovedMessage {
  kind: MessageKind.EntryMoved;
  request: RequestId;
  from: PoolId;
  to: PoolId;
  scheduler: VmId;
}
