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
import { type Waiting, WaitingQueue } from "./waiting_queue.ts";

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

type WaitingRequest = Waiting<Verdict>;

/** A request that could not be granted now. */
interface Blocked {
  waiting: WaitingRequest;
  request: ChoiceRequest;
  reason: NoRoomReason;
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
  readonly #queue = new WaitingQueue<Verdict>();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: ServiceSchedulerOptions) {
    this.service = options.service.name;
    this.#options = options;
    this.#refusals = new RefusalPolicy(options.clock, options.random);
  }

  get waiting(): number {
    return this.#queue.size;
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
    const waiting: WaitingRequest = {
      call,
      avoid,
      since: now,
      standing: this.#judge(call),
      startBy: call.receivedAt + call.route.objectiveMilliseconds,
      verdict: new Deferred<Verdict>(),
    };
    const abandon = () => {
      if (this.#queue.remove(waiting)) {
        this.#refuse(waiting, RefusalKind.Abandoned);
      }
    };
    signal.addEventListener("abort", abandon, { once: true });
    void waiting.verdict.promise.then(() =>
      signal.removeEventListener("abort", abandon)
    );
    this.#queue.add(waiting);
    this.#decideNew(waiting);
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
    if (this.#queue.size > 0) {
      this.#runStep();
    }
  }

  /**
   * Decides on a request that has just come. For the others nothing has changed
   * since the last step, and looking at them all again for each request of a
   * flood would take more time than the requests themselves.
   */
  #decideNew(waiting: WaitingRequest): void {
    const blocked = this.#tryGrant(waiting, this.#listUsable());
    if (blocked === undefined) {
      this.#queue.remove(waiting);
    } else {
      this.#refuseHopeless(blocked);
    }
    this.#scheduleStep();
  }

  /** Grants what there is room for, in order; then refuses from the end. */
  #runStep(): void {
    let endpoints = this.#listUsable();
    const blocked: Blocked[] = [];
    for (const waiting of this.#queue.list(this.#options.clock.now())) {
      const found = this.#tryGrant(waiting, endpoints);
      if (found === undefined) {
        this.#queue.remove(waiting);
        // A cold endpoint may have had what it bears with this one.
        endpoints = this.#listUsable();
      } else {
        blocked.push(found);
      }
    }
    for (const found of blocked.reverse()) {
      this.#refuseHopeless(found);
    }
    this.#scheduleStep();
  }

  /** Grants or refuses a request for good, or says what is in its way. */
  #tryGrant(
    waiting: WaitingRequest,
    endpoints: readonly EndpointState[],
  ): Blocked | undefined {
    const now = this.#options.clock.now();
    if (now >= waiting.call.endsAt) {
      this.#refuse(waiting, RefusalKind.Expired);
      return undefined;
    }
    const request = this.#describeRequest(waiting, now);
    const choice = this.#options.chooser.choose(request, endpoints);
    if (typeof choice === "object") {
      this.#grant(waiting, choice);
      return undefined;
    }
    if (choice === NoRoomReason.NoEndpoint && !this.#mayReturn()) {
      this.#refuse(waiting, RefusalKind.NoEndpoint);
      return undefined;
    }
    return { waiting, request, reason: choice };
  }

  /** Refuses a request that had better come back than wait on. */
  #refuseHopeless(blocked: Blocked): void {
    const isOverShare = blocked.request.standing >= ShareStanding.Over;
    const isHopeless = isOverShare
      ? this.#isHopelessForSpare(blocked.waiting)
      : this.#isHopeless(blocked);
    if (!isHopeless) {
      return;
    }
    const kind = isOverShare ? RefusalKind.OverShare : RefusalKind.Overload;
    this.#queue.remove(blocked.waiting);
    this.#refuse(blocked.waiting, kind);
  }

  #isHopelessForSpare({ call, since }: WaitingRequest): boolean {
    return this.#refusals.isHopelessForSpare({
      waitedMilliseconds: this.#options.clock.now() - since,
      objectiveMilliseconds: call.route.objectiveMilliseconds,
      waiting: this.#queue.countOverShare(),
    });
  }

  #isHopeless({ waiting, reason }: Blocked): boolean {
    const { call, since, startBy } = waiting;
    const now = this.#options.clock.now();
    const late = this.#queue.countLate(now);
    const situation = {
      waitedMilliseconds: now - since,
      leftMilliseconds: call.endsAt - now,
      late: startBy <= now ? late : 0,
    };
    return reason === NoRoomReason.LongBusy
      ? this.#refusals.isHopelessForLong({ ...situation, late })
      : this.#refusals.isHopeless(situation);
  }

  #describeRequest(waiting: WaitingRequest, now: number): ChoiceRequest {
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

  #grant(waiting: WaitingRequest, choice: Choice): void {
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

  #refuse(waiting: WaitingRequest, kind: RefusalKind): void {
    const waitedMilliseconds = this.#options.clock.now() - waiting.since;
    const retryAfterMilliseconds = kind === RefusalKind.OverShare
      ? this.#refusals.computeSpareRetryAfter(
        waiting.call.route.objectiveMilliseconds,
      )
      : this.#refusals.computeRetryAfter(this.#queue.size);
    waiting.verdict.resolve({
      refusal: { kind, retryAfterMilliseconds, waitedMilliseconds },
    });
  }

  #scheduleStep(): void {
    if (this.#queue.size === 0 || this.#timer !== undefined) {
      return;
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#runStep();
    }, STEP_MILLISECONDS);
  }
}
