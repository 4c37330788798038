/** Queues, places and refuses this VM's requests for one service. */

import {
  type Clock,
  Deferred,
  type Logger,
  type RandomSource,
} from "@rattanvane/base";
import type { EndpointUse, ServiceId, VmId } from "@rattanvane/protocol";
import { computeCost, type ForwardedCall } from "../model/call.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import type { ForwardedService } from "../model/route.ts";
import type { ColdBound } from "./cold_guard.ts";
import {
  type Choice,
  type ChoiceRequest,
  type EndpointChooser,
  NoRoomReason,
} from "./endpoint_chooser.ts";
import { EndpointState, type OwnAttempt } from "./endpoint_state.ts";
import { RefusalPolicy } from "./refusal_policy.ts";
import { type ShareMeter, ShareStanding } from "./share_meter.ts";
import { SpareRoom } from "./spare_room.ts";

const STEP_MILLISECONDS = 10;
/** Peers should know of such a prompt before they choose an engine. */
const NOTABLE_TOKENS = 3_000;

/** A request may be sent to an endpoint. */
export interface Grant {
  endpoint: EndpointState;
  attempt: OwnAttempt;
  choice: Choice;
  waitedMilliseconds: number;
}

/** How long a stream stood still, against what it may. */
export interface StreamPause {
  longestMilliseconds: number;
  allowedMilliseconds: number;
}

/** Why a request is not sent. */
export enum RefusalKind {
  NoEndpoint = "noEndpoint",
  /** It cannot be answered in time. */
  Overload = "overload",
  /** Its organisation has had its share, and nothing is to spare. */
  OverShare = "overShare",
  /** Its deadline passed while it waited. */
  Expired = "expired",
  /** Its caller is gone. */
  Abandoned = "abandoned",
}

/** A request is not sent, now or later. */
export interface Refusal {
  kind: RefusalKind;
  retryAfterMilliseconds: number;
  waitedMilliseconds: number;
}

/** What becomes of a queued request. */
export type Verdict =
  | { grant: Grant; refusal?: never }
  | { grant?: never; refusal: Refusal };

interface Waiting {
  call: ForwardedCall;
  avoid: ReadonlySet<string>;
  since: number;
  standing: ShareStanding;
  /** After this it is too late for the objective. */
  startBy: number;
  verdict: Deferred<Verdict>;
}

/** What a service's scheduler works with. */
export interface ServiceSchedulerOptions {
  service: ForwardedService;
  chooser: EndpointChooser;
  shares: ShareMeter;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  /** Called when an endpoint gets work that peers should know of at once. */
  tellPeers: () => void;
  /** What a cold endpoint bears from all VMs. */
  coldBound: ColdBound;
  /** Among how many VMs bounds are divided. */
  countVms: () => number;
}

/** The queue of one service at this VM. */
export class ServiceScheduler {
  readonly service: ServiceId;
  readonly #options: ServiceSchedulerOptions;
  readonly #endpoints = new Map<string, EndpointState>();
  readonly #refusals: RefusalPolicy;
  readonly #spareRoom = new SpareRoom();
  #queue: Waiting[] = [];
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: ServiceSchedulerOptions) {
    this.service = options.service.name;
    this.#options = options;
    this.#refusals = new RefusalPolicy(options.clock, options.random);
  }

  get waiting(): number {
    return this.#queue.length;
  }

  get coldBound(): ColdBound {
    return this.#options.coldBound;
  }

  /** Queues a request until there is an endpoint for it or it is refused. */
  submit(
    call: ForwardedCall,
    avoid: ReadonlySet<string>,
    signal: AbortSignal,
  ): Promise<Verdict> {
    const now = this.#options.clock.now();
    const waiting: Waiting = {
      call,
      avoid,
      since: now,
      standing: this.#judge(call),
      startBy: call.receivedAt + call.route.objectiveMilliseconds,
      verdict: new Deferred<Verdict>(),
    };
    const abandon = () => {
      if (this.#remove(waiting)) {
        this.#refuse(waiting, RefusalKind.Abandoned);
      }
    };
    signal.addEventListener("abort", abandon, { once: true });
    void waiting.verdict.promise.then(() =>
      signal.removeEventListener("abort", abandon)
    );
    this.#insert(waiting);
    this.#runStep();
    return waiting.verdict.promise;
  }

  /** Notes the end of an attempt, and uses the room. */
  release(grant: Grant): void {
    grant.endpoint.removeAttempt(grant.attempt);
    this.#runStep();
  }

  /** Notes that an answer has begun, and uses the room. */
  markAnswering(grant: Grant): void {
    grant.endpoint.markAnswering(grant.attempt);
    this.#runStep();
  }

  /** Notes the longest pause of a stream; those of long prompts don't count. */
  recordPause({ choice }: Grant, pause: StreamPause): void {
    if (!choice.isLong) {
      this.#spareRoom.recordStream(
        pause.longestMilliseconds > pause.allowedMilliseconds,
      );
    }
  }

  /** Takes in an endpoint's registration. */
  updateEndpoint(record: EndpointRecord, isOpen: boolean): EndpointState {
    const known = this.#endpoints.get(record.id);
    if (known !== undefined) {
      known.record = record;
      known.isOpen = isOpen;
      this.#runStep();
      return known;
    }
    const created = new EndpointState(record, this.#options.clock);
    created.isOpen = isOpen;
    this.#endpoints.set(record.id, created);
    this.#runStep();
    return created;
  }

  removeEndpoint(id: string): void {
    this.#endpoints.delete(id);
  }

  listEndpoints(): Iterable<EndpointState> {
    return this.#endpoints.values();
  }

  /** Takes in what a peer runs at the service's endpoints. */
  mergePeer(vm: VmId, uses: ReadonlyMap<string, EndpointUse>): void {
    for (const [id, endpoint] of this.#endpoints) {
      const use = uses.get(id);
      endpoint.mergePeer(vm, use);
      const downAge = use?.downAgeMilliseconds;
      if (downAge !== undefined && !endpoint.cold.isDown) {
        endpoint.cold.noteDownAtPeer(downAge);
      }
    }
    if (this.#queue.length > 0) {
      this.#runStep();
    }
  }

  /** Grants and refuses what can be decided now; the late come last. */
  #runStep(): void {
    let endpoints = this.#listUsable();
    const now = this.#options.clock.now();
    const onTime = this.#queue.filter(({ startBy }) => startBy > now);
    const late = this.#queue.filter(({ startBy }) => startBy <= now);
    for (const waiting of [...onTime, ...late]) {
      if (this.#decide(waiting, endpoints)) {
        this.#remove(waiting);
        // A cold endpoint may have had what it bears with this one.
        endpoints = this.#listUsable();
      }
    }
    this.#scheduleStep();
  }

  /** Returns whether the request left the queue. */
  #decide(
    waiting: Waiting,
    endpoints: readonly EndpointState[],
  ): boolean {
    const now = this.#options.clock.now();
    if (now >= waiting.call.endsAt) {
      this.#refuse(waiting, RefusalKind.Expired);
      return true;
    }
    const request = this.#describeRequest(waiting, now);
    const choice = this.#options.chooser.choose(request, endpoints);
    if (typeof choice === "object") {
      this.#grant(waiting, choice);
      return true;
    }
    if (choice === NoRoomReason.NoEndpoint && !this.#mayReturn()) {
      this.#refuse(waiting, RefusalKind.NoEndpoint);
      return true;
    }
    const isOwed = request.standing < ShareStanding.Over;
    return choice === NoRoomReason.LongBusy && isOwed
      ? this.#refuseHopelessLong(waiting, now)
      : this.#refuseHopeless(waiting, request);
  }

  /** Returns whether the request is refused; else it waits on. */
  #refuseHopelessLong(waiting: Waiting, now: number): boolean {
    const isHopeless = this.#refusals.isHopelessForLong({
      waitedMilliseconds: now - waiting.since,
      leftMilliseconds: waiting.call.endsAt - now,
      late: this.#countLate(now),
    });
    if (isHopeless) {
      this.#refuse(waiting, RefusalKind.Overload);
    }
    return isHopeless;
  }

  /** Returns whether the request is refused; else it waits on. */
  #refuseHopeless(waiting: Waiting, request: ChoiceRequest): boolean {
    const now = this.#options.clock.now();
    const { objectiveMilliseconds } = waiting.call.route;
    if (request.standing >= ShareStanding.Over) {
      const isOver = this.#refusals.hasWaitedForSpare(
        now - waiting.since,
        objectiveMilliseconds,
      );
      if (isOver) {
        this.#refuse(waiting, RefusalKind.OverShare);
      }
      return isOver;
    }
    const isLate = request.remainingMilliseconds <= 0;
    const isHopeless = this.#refusals.isHopeless({
      waitedMilliseconds: now - waiting.since,
      leftMilliseconds: waiting.call.endsAt - now,
      late: isLate ? this.#countLate(now) : 0,
    });
    if (isHopeless) {
      this.#refuse(waiting, RefusalKind.Overload);
    }
    return isHopeless;
  }

  #countLate(now: number): number {
    let late = 0;
    for (const { startBy } of this.#queue) {
      late += startBy <= now ? 1 : 0;
    }
    return late;
  }

  #describeRequest(waiting: Waiting, now: number): ChoiceRequest {
    const { call, avoid, startBy } = waiting;
    const standing = this.#judge(call);
    const remainingMilliseconds = startBy - now;
    const spareFactor = this.#spareRoom.factor;
    return { call, avoid, remainingMilliseconds, standing, spareFactor };
  }

  /** Only prompts are counted against an organisation's share. */
  #judge(call: ForwardedCall): ShareStanding {
    return call.organisation === undefined || call.identity.prompt === undefined
      ? ShareStanding.Low
      : this.#options.shares.judge(call.organisation);
  }

  /** Open endpoints that are not cold beyond what they bear. */
  #listUsable(): EndpointState[] {
    const { coldBound, countVms } = this.#options;
    const vms = countVms();
    return [...this.#endpoints.values()].filter((endpoint) =>
      endpoint.isOpen && endpoint.cold.hasRoom(coldBound, vms)
    );
  }

  /** Whether an endpoint is open, though it cannot be used at the moment. */
  #mayReturn(): boolean {
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.isOpen) {
        return true;
      }
    }
    return false;
  }

  #grant(waiting: Waiting, choice: Choice): void {
    const { call } = waiting;
    const { endpoint, work } = choice;
    const attempt = endpoint.addAttempt(work);
    if (call.identity.prompt !== undefined) {
      const memory = this.#options.service.engine?.memoryTokens ?? 0;
      endpoint.cache.record(call.identity.prompt, memory);
    }
    if (call.organisation !== undefined) {
      this.#options.shares.recordGranted(call.organisation, computeCost(call));
    }
    this.#refusals.recordGrant();
    if (work.tokens >= NOTABLE_TOKENS) {
      this.#options.tellPeers();
    }
    const waitedMilliseconds = this.#options.clock.now() - waiting.since;
    waiting.verdict.resolve({
      grant: { endpoint, attempt, choice, waitedMilliseconds },
    });
  }

  #refuse(waiting: Waiting, kind: RefusalKind): void {
    const waitedMilliseconds = this.#options.clock.now() - waiting.since;
    const retryAfterMilliseconds = kind === RefusalKind.OverShare
      ? this.#refusals.computeSpareRetryAfter(
        waiting.call.route.objectiveMilliseconds,
      )
      : this.#refusals.computeRetryAfter(this.#queue.length);
    waiting.verdict.resolve({
      refusal: { kind, retryAfterMilliseconds, waitedMilliseconds },
    });
  }

  /** Keeps the queue in the order in which requests are looked at. */
  #insert(waiting: Waiting): void {
    let place = this.#queue.length;
    while (
      place > 0 &&
      compareWaiting(waiting, this.#queue[place - 1] as Waiting) < 0
    ) {
      place--;
    }
    this.#queue.splice(place, 0, waiting);
  }

  #remove(waiting: Waiting): boolean {
    const place = this.#queue.indexOf(waiting);
    if (place < 0) {
      return false;
    }
    this.#queue.splice(place, 1);
    return true;
  }

  #scheduleStep(): void {
    if (this.#queue.length === 0 || this.#timer !== undefined) {
      return;
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#runStep();
    }, STEP_MILLISECONDS);
  }
}

/** The more urgent first, then who has had less, then what must start first. */
function compareWaiting(first: Waiting, second: Waiting): number {
  if (first.call.priority !== second.call.priority) {
    return first.call.priority - second.call.priority;
  }
  if (first.standing !== second.standing) {
    return first.standing - second.standing;
  }
  return first.startBy - second.startBy;
}
