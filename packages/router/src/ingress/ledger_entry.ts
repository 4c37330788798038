/** What the ingress knows of one request that waits or runs. */

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

/** Where a request stands. */
export enum CallPhase {
  /** Between two attempts, or before the first; no scheduler knows of it. */
  Idle = "idle",
  Waiting = "waiting",
  Running = "running",
}

/** The attempt that a request has at an endpoint. */
export interface CurrentAttempt {
  attempt: AttemptId;
  endpoint: EndpointId;
  pool: PoolId;
  /** Cost units so far. */
  cost: number;
  /** The cost units that the scheduler knows of, or has estimated. */
  reportedCost: number;
  /** When the scheduler was last told; on the monotonic clock. */
  reportedAt: number;
  /** The endpoint's boot id as its answer told it; empty when unknown. */
  bootId: string;
  /** Whether the scheduler has been told the boot id. */
  isBootReported: boolean;
}

/** What ends a wait for a grant. */
export type GrantAnswer = GrantMessage | RefuseMessage;

/** A request in the ledger. */
export class LedgerEntry {
  readonly call: IngressCall;
  readonly acceptedAt: number;
  phase = CallPhase.Idle;
  /** The pool that it waits or runs in. */
  pool: PoolId | undefined;
  /** The VM that was last asked to queue it. */
  scheduler: VmId | undefined;
  /** When its scheduler was last told of it; on the monotonic clock. */
  reportedAt = 0;
  attemptsMade = 0;
  readonly avoid: EndpointId[] = [];
  current: CurrentAttempt | undefined;
  grant = new Deferred<GrantAnswer>();

  constructor(call: IngressCall, acceptedAt: number) {
    this.call = call;
    this.acceptedAt = acceptedAt;
  }

  /** Describes the request for a scheduler's queue. */
  describeWaiting(self: VmId, now: number): QueueEntry {
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

  /** Describes the running attempt, if there is one. */
  describeRunning(): RunningAttempt | undefined {
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
