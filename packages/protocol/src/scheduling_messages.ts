/** Messages between ingresses and the schedulers of pools. */

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

/** What a scheduler knows of a waiting request; the body stays at the ingress. */
export interface QueueEntry {
  request: RequestId;
  /** The VM whose ingress holds the caller's connection. */
  ingress: VmId;
  organisation: OrganisationId;
  /** How often the request has left for an endpoint so far. */
  attemptsMade: number;
  /** The caller's rough idea of the cost, in cost units; 0 when unknown. */
  hintedCost: number;
  /** How long the request may still wait, in milliseconds. */
  waitLimitMilliseconds: number;
  /** How long it has waited already, in milliseconds. */
  waitedMilliseconds: number;
  /** Identifies the body, for the quarantine of crashing requests. */
  fingerprint: string;
  /** Identifies the start of the prompt, for cache locality; may be empty. */
  prefix: string;
  /** Endpoints that failed this request and are to be avoided. */
  avoid: EndpointId[];
}

/** Asks a scheduler to queue a request. */
export interface EnqueueMessage {
  kind: MessageKind.Enqueue;
  pool: PoolId;
  entry: QueueEntry;
}

/** Takes a request out of the queue, or gives its slot back before it ran. */
export interface CancelEntryMessage {
  kind: MessageKind.CancelEntry;
  pool: PoolId;
  request: RequestId;
}

/** Lets an ingress send one attempt to one endpoint. */
export interface GrantMessage {
  kind: MessageKind.Grant;
  pool: PoolId;
  term: Term;
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  /** What the organisation is charged until the attempt has cost more. */
  chargedCost: number;
  /** Why this endpoint was chosen; for the log line of the decision. */
  reason: PlacementReason;
}

/** Why a scheduler chose an endpoint. */
export enum PlacementReason {
  CachedPrefix = "cachedPrefix",
  LeastLoaded = "leastLoaded",
  OtherZone = "otherZone",
  SuspectAlone = "suspectAlone",
}

/** Returns a grant that was not used; nothing was sent to the endpoint. */
export interface DeclineGrantMessage {
  kind: MessageKind.DeclineGrant;
  pool: PoolId;
  request: RequestId;
  attempt: AttemptId;
}

/** Why a scheduler will not run a request. */
export enum RefusalReason {
  QueueFull = "queueFull",
  WaitedTooLong = "waitedTooLong",
  Quarantined = "quarantined",
  NoEndpoint = "noEndpoint",
  NotReachable = "notReachable",
}

/** Refuses a queued request. */
export interface RefuseMessage {
  kind: MessageKind.Refuse;
  pool: PoolId;
  request: RequestId;
  reason: RefusalReason;
  retryAfterMilliseconds: number;
}

/** What a running attempt has cost so far. */
export interface AttemptCost {
  attempt: AttemptId;
  /** All cost units of the attempt so far. */
  cost: number;
  /** The endpoint's boot id as its answer told it; empty when unknown. */
  bootId: string;
}

/** Reports the costs of an ingress's running attempts in a pool. */
export interface ProgressMessage {
  kind: MessageKind.Progress;
  pool: PoolId;
  /** The attempts whose cost has changed. */
  attempts: AttemptCost[];
}

/** How an attempt ended, as the ingress saw it. */
export enum AttemptOutcome {
  Completed = "completed",
  /** The endpoint refused it without running it. */
  EndpointRefused = "endpointRefused",
  /** The endpoint could not be reached; nothing was sent. */
  NotSent = "notSent",
  /** The connection broke while the attempt ran. */
  EndpointLost = "endpointLost",
  TimedOut = "timedOut",
  Cancelled = "cancelled",
}

/** Reports the end of an attempt; the slot is free again. */
export interface FinishMessage {
  kind: MessageKind.Finish;
  pool: PoolId;
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  outcome: AttemptOutcome;
  /** The final cost, in cost units. */
  cost: number;
  /** The time to the first byte of the answer; 0 when there was none. */
  firstByteMilliseconds: number;
  durationMilliseconds: number;
  /** The endpoint's boot id as its answer told it; empty when unknown. */
  bootId: string;
}

/** Asks an ingress for everything of a pool that it has waiting or running. */
export interface RequestWorkMessage {
  kind: MessageKind.RequestWork;
  pool: PoolId;
  term: Term;
}

/** An attempt that is running, as its ingress knows it. */
export interface RunningAttempt {
  request: RequestId;
  attempt: AttemptId;
  endpoint: EndpointId;
  organisation: OrganisationId;
  cost: number;
  fingerprint: string;
}

/** What an ingress has waiting and running of a pool. */
export interface WorkReportMessage {
  kind: MessageKind.WorkReport;
  pool: PoolId;
  waiting: QueueEntry[];
  running: RunningAttempt[];
}

/** Tells an ingress that the receiver does not schedule the pool. */
export interface NotSchedulerMessage {
  kind: MessageKind.NotScheduler;
  pool: PoolId;
  request: RequestId;
  /** The newest term that the sender knows of, if any. */
  term?: Term;
}

/** An organisation's counter at a scheduler. */
export interface OrganisationCounter {
  organisation: OrganisationId;
  /** Service received, in cost units. */
  service: number;
}

/** An organisation's service received divided by its weight, plus lifts. */
export interface VirtualCounter {
  organisation: OrganisationId;
  virtual: number;
}

/** What a scheduler has learned of an endpoint's limit. */
export interface EndpointLimitState {
  endpoint: EndpointId;
  bootId: string;
  limit: number;
  /** Requests that the scheduler does not know, as reports show them. */
  foreign: number;
}

/** A running attempt as one scheduler passes it to the next. */
export interface HandedAttempt extends RunningAttempt {
  ingress: VmId;
}

/** Passes a pool's learned state to its next scheduler. */
export interface HandoverMessage {
  kind: MessageKind.Handover;
  pool: PoolId;
  term: Term;
  /** The lowest backlogged counter. */
  virtualTime: number;
  counters: VirtualCounter[];
  /** None while the sender does not know yet what is running. */
  limits: EndpointLimitState[];
  /** Every attempt that is running or on its way, of all zones' ingresses. */
  running: HandedAttempt[];
}

/** Service that a scheduler has given, by organisation. */
export interface CounterDeltaMessage {
  kind: MessageKind.CounterDelta;
  service: ServiceId;
  /** The pool whose scheduler gave the service. */
  pool: PoolId;
  /** The sender's term; totals start from 0 with each. */
  term: Term;
  /** Counts the sender's messages in its term, from 1. */
  sequence: number;
  /** Totals of organisations that changed, not differences. */
  totals: OrganisationCounter[];
  /** Organisations whose changed totals come later; not set for none. */
  unsent?: number;
  /** The lowest counter among the sender's backlogged organisations. */
  virtualTime: number;
  /** Whose counter that is; not set while nothing waits. */
  lowest?: OrganisationId;
  /** Requests that wait at the sender. */
  waiting: number;
  /** What the sender's usable endpoints bear together; 0 when it has none. */
  slots: number;
}

/** Offers free slots to a scheduler of the same service in another zone. */
export interface OfferMessage {
  kind: MessageKind.Offer;
  /** The pool that has free slots. */
  pool: PoolId;
  /** Slots that stand idle. */
  freeSlots: number;
  /** Entries wanted besides, so that the next free slot need not wait. */
  prefetch: number;
}

/** Moves waiting entries to the pool that offered free slots. */
export interface MoveEntriesMessage {
  kind: MessageKind.MoveEntries;
  from: PoolId;
  to: PoolId;
  entries: QueueEntry[];
  /** How the entries' ingresses are reached from another zone. */
  contacts: VmContact[];
  /** The counters of the entries' organisations at the sender. */
  counters: VirtualCounter[];
}

/** Tells the sender of moved entries which ones the receiver now holds. */
export interface EntriesTakenMessage {
  kind: MessageKind.EntriesTaken;
  /** The pool from which the entries came. */
  from: PoolId;
  to: PoolId;
  taken: RequestId[];
  /** Entries that the receiver did not take; they go back into the queue. */
  returned: RequestId[];
}

/** Tells an ingress which pool's scheduler now holds its entry. */
export interface EntryMovedMessage {
  kind: MessageKind.EntryMoved;
  request: RequestId;
  from: PoolId;
  to: PoolId;
  scheduler: VmId;
}
