/** Queues, dispatches and refuses this VM's requests for one service. */

import {
  type Clock,
  Deferred,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { EndpointUse, ServiceId, VmId } from "@rattanvane/protocol";
import { computeCost, type SchedulableCall } from "../model/call.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import type { ForwardedService } from "../model/route.ts";
import type { ColdBound } from "./cold_start_guard.ts";
import {
  type Choice,
  type ChoiceRequest,
  type EndpointChooser,
  type EndpointRestrictions,
  NoCapacityReason,
} from "./endpoint_chooser.ts";
import type { VersionGate } from "../rollouts/version_gate.ts";
import { EndpointRateLimit } from "./endpoint_rate_limit.ts";
import { EndpointState, type LocalAttempt } from "./endpoint_state.ts";
import { type Refusal, type RefusalCause, RefusalKind } from "./refusal.ts";
import type { KeptPlaces } from "./kept_places.ts";
import { RefusalPolicy } from "./refusal_policy.ts";
import { ReturnPolicy } from "./return_policy.ts";
import { type ShareMeter, ShareUsage } from "./share_meter.ts";
import { SpareCapacityController } from "./spare_capacity_controller.ts";
import { type WaitingEntry, WaitingQueue } from "./waiting_queue.ts";

const QUEUE_PASS_INTERVAL_MILLISECONDS = 10;
/**
 * The time between two passes over the queue, as a multiple of what the former
 * one took, so that a long queue cannot take all processor time.
 */
const PASS_PAUSE_FACTOR = 4;
/** A pass also takes long when the process was interrupted in it. */
const MAX_PASS_PAUSE_MILLISECONDS = 50;
/** The limits that refused a request are described no more often than this. */
const DESCRIPTION_INTERVAL_MILLISECONDS = 20;
/**
 * Peers are notified at once of prompts with this many tokens to process, so
 * that they take them into account when they choose an engine.
 */
const PEER_NOTIFICATION_MIN_TOKENS = 3_000;

/** The memory for the prompt parts that the endpoints probably have cached. */
const MAX_CACHE_BYTES = 12 * 1024 * 1024;

/** Permission to send a request to an endpoint. */
export interface Grant {
  endpoint: EndpointState;
  attempt: LocalAttempt;
  choice: Choice;
  waitedMilliseconds: number;
}

/** The longest and the acceptable interval between two events of a stream. */
export interface StreamPause {
  longestMilliseconds: number;
  allowedMilliseconds: number;
}

/** The result for a queued request: a grant or a refusal. */
export type AdmissionDecision =
  | { grant: Grant; refusal?: never }
  | { grant?: never; refusal: Refusal };

type QueuedRequest = WaitingEntry<AdmissionDecision>;

/** A request for which no endpoint has capacity now. */
interface BlockedRequest {
  waiting: QueuedRequest;
  request: ChoiceRequest;
  reason: NoCapacityReason;
}

/** Dependencies and limits of a service's scheduler. */
export interface ServiceSchedulerOptions {
  service: ForwardedService;
  chooser: EndpointChooser;
  shares: ShareMeter;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Called when an endpoint was sent work that peers must learn of at once. */
  notifyPeers: () => void;
  /** The limit on requests from all VMs to a cold endpoint. */
  coldBound: ColdBound;
  /** Counts the VMs among which fleet-wide limits are divided. */
  countVms: () => number;
  /** Undefined if refused callers are served like new ones when they return. */
  places?: KeptPlaces | undefined;
  /** Tells versions apart during a roll-out; undefined if they are alike. */
  versions?: VersionGate | undefined;
  /** An abort stops the periodic passes over the queue. */
  signal: AbortSignal;
}

/** Assigns the requests of one service at this VM to its endpoints. */
export class ServiceScheduler {
  readonly service: ServiceId;
  readonly #options: ServiceSchedulerOptions;
  readonly #endpoints = new Map<string, EndpointState>();
  readonly #refusalPolicy: RefusalPolicy;
  /** Undefined if refused callers have no places. */
  readonly #returns: ReturnPolicy | undefined;
  readonly #spareCapacity = new SpareCapacityController();
  readonly #queue = new WaitingQueue<AdmissionDecision>();
  #isPassScheduled = false;
  /** No pass over the queue begins before this time. */
  #nextPassAt = -Infinity;
  #describedAt = -Infinity;

  constructor(options: ServiceSchedulerOptions) {
    this.service = options.service.name;
    this.#options = options;
    this.#refusalPolicy = new RefusalPolicy(options.clock, options.random);
    const { places } = options;
    this.#returns = places === undefined
      ? undefined
      : new ReturnPolicy({ ...options, places });
  }

  /** The number of queued requests. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** The number of endpoints that report that they are slow now. */
  get slowEndpoints(): number {
    let count = 0;
    for (const { speed } of this.#endpoints.values()) {
      count += speed.isSlow ? 1 : 0;
    }
    return count;
  }

  /** The limit on requests from all VMs to a cold endpoint. */
  get coldBound(): ColdBound {
    return this.#options.coldBound;
  }

  /**
   * Queues a request until it is granted an endpoint or refused. An abort of
   * the signal removes it from the queue.
   */
  submit(
    call: SchedulableCall,
    restrictions: EndpointRestrictions,
    signal: AbortSignal,
  ): Promise<AdmissionDecision> {
    const now = this.#options.clock.now();
    this.#options.chooser.recordRequest(call);
    const waiting: QueuedRequest = {
      call,
      ...restrictions,
      queuedAt: now,
      shareUsage: this.#computeShareUsage(call),
      startDeadlineAt: call.receivedAt + call.route.objectiveMilliseconds,
      isReturn: this.#options.places?.take(call) ?? false,
      decision: new Deferred<AdmissionDecision>(),
      ...(this.#options.versions?.isActive === true
        ? { versionDraw: this.#options.random.nextFraction() }
        : {}),
    };
    const abandon = () => {
      if (this.#queue.remove(waiting)) {
        this.#refuse(waiting, RefusalKind.Abandoned);
      }
    };
    signal.addEventListener("abort", abandon, { once: true });
    void waiting.decision.promise.then(() =>
      signal.removeEventListener("abort", abandon)
    );
    this.#queue.add(waiting);
    this.#processNewRequest(waiting);
    return waiting.decision.promise;
  }

  /**
   * Grants an attempt beside a running one of the same request, if an endpoint
   * has room that no other request waits for; undefined otherwise. None is
   * granted during a roll-out, whose bound on attempts it would use up.
   *
   * Load: a slow endpoint while others have free slots.
   */
  grantSpare(
    call: SchedulableCall,
    restrictions: EndpointRestrictions,
  ): Grant | undefined {
    const shareUsage = this.#computeShareUsage(call);
    const isRollingOut = this.#options.versions?.isUndecided === true;
    if (
      this.#queue.size > 0 || shareUsage >= ShareUsage.Over || isRollingOut
    ) {
      return undefined;
    }
    const now = this.#options.clock.now();
    const spare = this.#listUsableEndpoints().filter((endpoint) =>
      !endpoint.coldStart.isCold && !endpoint.coldStart.isDown &&
      !restrictions.avoid.has(endpoint.record.id) &&
      !this.#isOfExcludedVersion(endpoint) &&
      endpoint.running < endpoint.record.slots
    );
    const choice = this.#options.chooser.choose({
      ...restrictions,
      call,
      shareUsage,
      remainingMilliseconds: call.route.objectiveMilliseconds,
      spareCapacityFactor: this.#spareCapacity.factor,
    }, spare);
    return typeof choice === "object"
      ? this.#startAttempt(call, { choice, queuedAt: now })
      : undefined;
  }

  /** Records the end of an attempt and assigns the released capacity. */
  release(grant: Grant): void {
    grant.endpoint.removeAttempt(grant.attempt);
    this.#processQueue();
  }

  /** Records that a response has begun and assigns the released capacity. */
  markResponding(grant: Grant): void {
    grant.endpoint.markResponding(grant.attempt);
    this.#processQueue();
  }

  /** Records the longest event interval of a stream; ignores long prompts. */
  recordPause({ choice }: Grant, pause: StreamPause): void {
    if (!choice.isLong) {
      this.#spareCapacity.recordStream(
        pause.longestMilliseconds > pause.allowedMilliseconds,
      );
    }
  }

  /**
   * Applies an endpoint's registration.
   *
   * @param isOpen whether the endpoint may be sent new requests
   */
  updateEndpoint(record: EndpointRecord, isOpen: boolean): EndpointState {
    const known = this.#endpoints.get(record.id);
    if (known !== undefined) {
      known.record = record;
      known.isOpen = isOpen;
      this.#processQueue();
      return known;
    }
    const { clock } = this.#options;
    const rateLimit = new EndpointRateLimit(this.#options);
    const created = new EndpointState(record, clock, rateLimit);
    created.isOpen = isOpen;
    this.#endpoints.set(record.id, created);
    this.#processQueue();
    return created;
  }

  /** Applies the limit that an endpoint states; undefined for none. */
  updateRateLimit(id: string, requestsPerSecond: number | undefined): void {
    this.#endpoints.get(id)?.rateLimit?.update(requestsPerSecond);
    this.#processQueue();
  }

  /** Removes an endpoint; attempts that run there are not affected. */
  removeEndpoint(id: string): void {
    this.#endpoints.delete(id);
  }

  findEndpoint(id: string): EndpointState | undefined {
    return this.#endpoints.get(id);
  }

  /** Lists all endpoints, including closed ones. */
  listEndpoints(): Iterable<EndpointState> {
    return this.#endpoints.values();
  }

  /** Merges a peer's use of the service's endpoints, keyed by endpoint id. */
  mergePeer(vm: VmId, uses: ReadonlyMap<string, EndpointUse>): void {
    for (const [id, endpoint] of this.#endpoints) {
      const use = uses.get(id);
      endpoint.mergePeer(vm, use);
      const downAge = use?.downAgeMilliseconds;
      if (downAge !== undefined && !endpoint.coldStart.isDown) {
        endpoint.coldStart.recordPeerDownReport(downAge);
      }
    }
    this.#processQueue();
  }

  /**
   * Processes a request that has just arrived. Nothing has changed for the
   * other queued requests since the last pass, and checking all of them again
   * for each request of a burst would take more time than the requests
   * themselves.
   */
  #processNewRequest(waiting: QueuedRequest): void {
    const first = this.#queue.findReturnBefore(waiting);
    if (first !== undefined) {
      this.#grantOrRefuse(first);
    }
    const blocked = this.#grantOrRefuse(waiting);
    if (blocked === undefined) {
      this.#scheduleQueuePass();
      return;
    }
    if (this.#isRefusalExpected(blocked)) {
      this.#refuseBlockedRequest(blocked);
    } else {
      this.#refuseIfDue(blocked);
    }
    this.#scheduleQueuePass();
  }

  /**
   * Grants requests in queue order while there is capacity, then refuses from
   * the end of the queue.
   */
  #processQueue(): void {
    const startedAt = this.#options.clock.now();
    if (this.#queue.size > 0 && startedAt >= this.#nextPassAt) {
      this.#refuseBlocked(this.#grantInOrder(startedAt));
      const endedAt = this.#options.clock.now();
      this.#nextPassAt = endedAt + Math.min(
        MAX_PASS_PAUSE_MILLISECONDS,
        PASS_PAUSE_FACTOR * (endedAt - startedAt),
      );
    }
    this.#scheduleQueuePass();
  }

  /** Removes a request from the queue unless it has to wait. */
  #grantOrRefuse(waiting: QueuedRequest): BlockedRequest | undefined {
    const blocked = this.#tryGrant(waiting, this.#listUsableEndpoints());
    if (blocked === undefined) {
      this.#queue.remove(waiting);
    }
    return blocked;
  }

  /** Grants what there is capacity for and returns the other requests. */
  #grantInOrder(now: number): BlockedRequest[] {
    let endpoints = this.#listUsableEndpoints();
    const blocked: BlockedRequest[] = [];
    for (const waiting of this.#queue.list(now)) {
      const result = this.#tryGrant(waiting, endpoints);
      if (result === undefined) {
        this.#queue.remove(waiting);
        if (this.#hasColdEndpoint(endpoints)) {
          // This request may have exhausted the limit of a cold endpoint.
          endpoints = this.#listUsableEndpoints();
        }
      } else {
        blocked.push(result);
      }
    }
    return blocked;
  }

  #refuseBlocked(blocked: BlockedRequest[]): void {
    for (const candidate of blocked.reverse()) {
      this.#refuseIfDue(candidate);
    }
  }

  /**
   * Grants a request, or refuses it if it has expired or no endpoint is open.
   * Returns the reason if it has to wait instead.
   */
  #tryGrant(
    waiting: QueuedRequest,
    endpoints: readonly EndpointState[],
  ): BlockedRequest | undefined {
    const now = this.#options.clock.now();
    if (now >= waiting.call.deadlineAt) {
      this.#refuse(waiting, RefusalKind.Expired);
      return undefined;
    }
    const request = this.#buildChoiceRequest(waiting, now);
    const choice = this.#choose(waiting, request, endpoints);
    if (typeof choice === "object") {
      this.#grant(waiting, choice);
      return undefined;
    }
    const mayBeClosed = choice === NoCapacityReason.NoEndpoint ||
      waiting.excluded.size > 0;
    if (mayBeClosed && !this.#hasOpenEndpoint(waiting.excluded)) {
      this.#refuse(waiting, RefusalKind.NoEndpoint);
      return undefined;
    }
    return { waiting, request, reason: choice };
  }

  /** Chooses among the endpoints of the versions that may get a request. */
  #choose(
    { versionDraw, avoid }: QueuedRequest,
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoCapacityReason {
    const { chooser, versions } = this.#options;
    if (versions?.isActive !== true) {
      return chooser.choose(request, endpoints);
    }
    // Requests that waited before the order go to the former version.
    const placed = { draw: versionDraw ?? 1, isRetry: avoid.size > 0 };
    let result: Choice | NoCapacityReason = NoCapacityReason.NoEndpoint;
    for (const group of versions.listGroups(placed, endpoints)) {
      if (group.length === 0) {
        continue;
      }
      result = chooser.choose(request, group);
      if (typeof result === "object") {
        return result;
      }
    }
    return result;
  }

  /** Refuses a blocked request if waiting longer is not expected to help. */
  #refuseIfDue(blocked: BlockedRequest): void {
    const isRefusalDue = this.#returns !== undefined
      ? this.#returns.isRefusalDue(blocked.waiting, isOverShare(blocked))
      : isOverShare(blocked)
      ? this.#isOverShareRefusalDue(blocked.waiting)
      : this.#isOverloadRefusalDue(blocked);
    if (isRefusalDue) {
      this.#refuseBlockedRequest(blocked);
    }
  }

  #refuseBlockedRequest(blocked: BlockedRequest): void {
    const kind = isOverShare(blocked)
      ? RefusalKind.OverShare
      : RefusalKind.Overload;
    this.#queue.remove(blocked.waiting);
    this.#refuse(blocked.waiting, kind, this.#describeCause(blocked));
  }

  /** Whether a new request is expected to be refused when it has waited. */
  #isRefusalExpected(blocked: BlockedRequest): boolean {
    const { waiting, reason } = blocked;
    const { call } = waiting;
    const isLong = reason === NoCapacityReason.LongBusy;
    waiting.isLong = isLong;
    if (this.#returns === undefined || waiting.isReturn === true) {
      return false;
    }
    const ahead = this.#queue.listAhead(waiting)
      .filter((other) => other.isLong === isLong)
      .map((other) => other.call);
    return this.#returns.isRefusalExpected({
      call,
      ahead,
      isLong,
      isOverShare: isOverShare(blocked),
    });
  }

  #describeCause({ request }: BlockedRequest): RefusalCause {
    const usage = ShareUsage[request.shareUsage];
    const { chooser, clock } = this.#options;
    const now = clock.now();
    if (now - this.#describedAt < DESCRIPTION_INTERVAL_MILLISECONDS) {
      return { usage };
    }
    this.#describedAt = now;
    const limits = chooser.describeLimits(request, this.#listUsableEndpoints());
    return { usage, limits };
  }

  #isOverShareRefusalDue(waiting: QueuedRequest): boolean {
    const { call, queuedAt, shareUsage } = waiting;
    return this.#refusalPolicy.isOverShareRefusalDue({
      waitedMilliseconds: this.#options.clock.now() - queuedAt,
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      waiting: this.#queue.countOverShare(shareUsage),
    });
  }

  #isOverloadRefusalDue({ waiting, reason }: BlockedRequest): boolean {
    const { call, queuedAt, startDeadlineAt } = waiting;
    const now = this.#options.clock.now();
    const lateRequests = this.#queue.countLate(now);
    const wait = {
      waitedMilliseconds: now - queuedAt,
      remainingMilliseconds: call.deadlineAt - now,
      lateRequests: startDeadlineAt <= now ? lateRequests : 0,
    };
    return reason === NoCapacityReason.LongBusy
      ? this.#refusalPolicy.isLongPromptRefusalDue({ ...wait, lateRequests })
      : this.#refusalPolicy.isRefusalDue(wait);
  }

  #buildChoiceRequest(waiting: QueuedRequest, now: number): ChoiceRequest {
    const { call, avoid, excluded, startDeadlineAt } = waiting;
    const usage = this.#computeShareUsage(call);
    const shareUsage = this.#returns?.computeUsage(usage, waiting) ?? usage;
    const remainingMilliseconds = startDeadlineAt - now;
    const spareCapacityFactor = this.#spareCapacity.factor;
    return {
      call,
      avoid,
      excluded,
      remainingMilliseconds,
      shareUsage,
      spareCapacityFactor,
    };
  }

  /** Only requests with a prompt count against an organisation's share. */
  #computeShareUsage(call: SchedulableCall): ShareUsage {
    return call.organisation === undefined || call.identity.prompt === undefined
      ? ShareUsage.Low
      : this.#options.shares.computeShareUsage(call.organisation);
  }

  /** Lists open endpoints, without cold ones whose limit is exhausted. */
  #listUsableEndpoints(): EndpointState[] {
    const { coldBound, countVms } = this.#options;
    let vms: number | undefined;
    const usable: EndpointState[] = [];
    for (const endpoint of this.#endpoints.values()) {
      const isUsable = endpoint.isOpen &&
        (!endpoint.coldStart.isCold ||
          endpoint.coldStart.hasCapacity(coldBound, vms ??= countVms()));
      if (isUsable) {
        usable.push(endpoint);
      }
    }
    return usable;
  }

  #hasColdEndpoint(endpoints: readonly EndpointState[]): boolean {
    return endpoints.some(({ coldStart }) => coldStart.isCold);
  }

  /** Whether any endpoint is open, even if it has no capacity at the moment. */
  #hasOpenEndpoint(excluded: ReadonlySet<string>): boolean {
    for (const [id, endpoint] of this.#endpoints) {
      const isUsable = endpoint.isOpen && !excluded.has(id) &&
        !this.#isOfExcludedVersion(endpoint);
      if (isUsable) {
        return true;
      }
    }
    return false;
  }

  #isOfExcludedVersion({ record }: EndpointState): boolean {
    const { versions } = this.#options;
    return versions?.isActive === true &&
      versions.isExcluded(record.version ?? "");
  }

  #grant(waiting: QueuedRequest, choice: Choice): void {
    const { call, queuedAt } = waiting;
    const grant = this.#startAttempt(call, { choice, queuedAt });
    waiting.decision.resolve({ grant });
  }

  #startAttempt(
    call: SchedulableCall,
    { choice, queuedAt }: { choice: Choice; queuedAt: number },
  ): Grant {
    const { endpoint, work } = choice;
    const attempt = endpoint.addAttempt(work);
    this.#options.versions?.recordAttempt(endpoint.record.version ?? "");
    if (call.identity.prompt !== undefined) {
      const memoryTokens = this.#options.service.engine?.memoryTokens ?? 0;
      endpoint.cache.record(call.identity.prompt, {
        memoryTokens,
        maxBytes: MAX_CACHE_BYTES / Math.max(1, this.#endpoints.size),
      });
    }
    if (call.organisation !== undefined) {
      this.#options.shares.recordGranted(call.organisation, computeCost(call));
    }
    this.#refusalPolicy.recordGrant();
    this.#returns?.recordGrant(call, choice.isLong);
    if (work.tokens >= PEER_NOTIFICATION_MIN_TOKENS) {
      this.#options.notifyPeers();
    }
    const waitedMilliseconds = this.#options.clock.now() - queuedAt;
    return { endpoint, attempt, choice, waitedMilliseconds };
  }

  #refuse(
    waiting: QueuedRequest,
    kind: RefusalKind,
    cause?: RefusalCause,
  ): void {
    const waitedMilliseconds = this.#options.clock.now() - waiting.queuedAt;
    const retryAfterMilliseconds = this.#computeRetryAfter(waiting, kind);
    if (waiting.isReturn === true && kind !== RefusalKind.Abandoned) {
      this.#options.places?.recordRefusal();
    }
    waiting.decision.resolve({
      refusal: {
        kind,
        retryAfterMilliseconds,
        waitedMilliseconds,
        ...(cause === undefined ? {} : { cause }),
      },
    });
  }

  #computeRetryAfter(waiting: QueuedRequest, kind: RefusalKind): number {
    const policy = this.#refusalPolicy;
    const { objectiveMilliseconds } = waiting.call.route;
    const isOverShare = kind === RefusalKind.OverShare;
    const usual = isOverShare
      ? policy.computeOverShareRetryAfter(objectiveMilliseconds)
      : policy.computeRetryAfter(this.#queue.size);
    const mayReturn = isOverShare || kind === RefusalKind.Overload;
    if (this.#returns === undefined || !mayReturn) {
      return usual;
    }
    return this.#returns.computeRetryAfter(waiting, {
      earliestMilliseconds: isOverShare
        ? usual
        : policy.computeOverShareRetryAfter(objectiveMilliseconds),
      otherwiseMilliseconds: usual,
    });
  }

  #scheduleQueuePass(): void {
    if (this.#queue.size > 0 && !this.#isPassScheduled) {
      this.#isPassScheduled = true;
      void this.#runScheduledPass();
    }
  }

  async #runScheduledPass(): Promise<void> {
    await this.#options.clock.sleep(
      QUEUE_PASS_INTERVAL_MILLISECONDS,
      this.#options.signal,
    );
    this.#isPassScheduled = false;
    if (!this.#options.signal.aborted) {
      this.#processQueue();
    }
  }
}

function isOverShare({ request }: BlockedRequest): boolean {
  return request.shareUsage >= ShareUsage.Over;
}
