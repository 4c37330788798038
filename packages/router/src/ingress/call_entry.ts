/** State of one request in progress at the ingress. */

import { Deferred } from "@rattanvane/base";
import type {
  AttemptId,
  EndpointId,
  GrantMessage,
  PoolId,
  QueueEntry,
  RefuseMessage,
  RunningAttempt,
  VmId,
} from "@rattanvane/protocol";
import type { IngressCall } from "./ingress_call.ts";

/** Phase of a request in progress. */
export enum CallPhase {
  /** Before the first attempt or between two; not queued with any scheduler. */
  Idle = "idle",
  Waiting = "waiting",
  Running = "running",
}

/** The attempt of a request that is running at an endpoint. */
export interface CurrentAttempt {
  attempt: AttemptId;
  endpoint: EndpointId;
  pool: PoolId;
  /** Accumulated cost, in cost units. */
  cost: number;
  /**
   * Cost that was last reported to or estimated by the scheduler, in cost
   * units.
   */
  reportedCost: number;
  /** Time of the last report to the scheduler, on the monotonic clock. */
  reportedAt: number;
  /** The endpoint's boot id, taken from its response; empty when unknown. */
  bootId: string;
  /** Whether the boot id has been reported to the scheduler. */
  isBootIdReported: boolean;
}

/** Decision of a scheduler on a waiting request: a grant or a refusal. */
export type GrantDecision = GrantMessage | RefuseMessage;

/** A request in progress, with its queue position and current attempt. */
export class CallEntry {
  readonly call: IngressCall;
  readonly acceptedAt: number;
  phase = CallPhase.Idle;
  /** The pool that the request is waiting or running in. */
  pool: PoolId | undefined;
  /** The VM that the request was last queued with. */
  scheduler: VmId | undefined;
  /** Time of the last report to the scheduler, on the monotonic clock. */
  reportedAt = 0;
  attemptsMade = 0;
  readonly avoid: EndpointId[] = [];
  current: CurrentAttempt | undefined;
  grant = new Deferred<GrantDecision>();

  constructor(call: IngressCall, acceptedAt: number) {
    this.call = call;
    this.acceptedAt = acceptedAt;
  }

  /** Builds the entry for the scheduler's queue. */
  buildQueueEntry(self: VmId, now: number): QueueEntry {
    return {
      request: this.call.request,
      ingress: self,
      organisation: this.call.organisation.name,
      attemptsMade: this.attemptsMade,
      hintedCost: this.call.hintedCost,
      waitLimitMilliseconds: Math.max(0, this.call.deadlineAt - now),
      waitedMilliseconds: Math.max(0, now - this.acceptedAt),
      fingerprint: this.call.fingerprint,
      prefix: this.call.prefix,
      avoid: [...this.avoid],
    };
  }

  /** Builds the report of the running attempt; undefined when there is none. */
  buildRunningAttempt(): RunningAttempt | undefined {
    if (this.current === undefined) {
      return undefined;
    }
    return {
      request: this.call.request,
      attempt: this.current.attempt,
      endpoint: this.current.endpoint,
      organisation: this.call.organisation.name,
      cost: this.current.cost,
      fingerprint: this.call.fingerprint,
    };
  }
}
