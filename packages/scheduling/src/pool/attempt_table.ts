/** The attempts that a pool's scheduler has granted or taken over. */

import type { Charge } from "@rattanvane/fairness";
import type {
  AttemptId,
  EndpointId,
  GrantMessage,
  HandedAttempt,
  RequestId,
  VmId,
} from "@rattanvane/protocol";
import type { WaitingEntry } from "./pool_queue.ts";

/** A granted attempt of which the end is not known yet. */
export interface RunningGrant {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly ingress: VmId;
  readonly endpoint: EndpointId;
  readonly fingerprint: string;
  readonly charge: Charge;
  readonly grantedAt: number;
  /** How often the request had left for an endpoint before. */
  readonly attemptsMade: number;
  /** The message, to be sent again; undefined for one taken over. */
  readonly message: GrantMessage | undefined;
  lastNewsAt: number;
  /** The cost that its ingress has reported so far. */
  reportedCost: number;
  /** What was granted; unknown for an attempt that was taken over. */
  waiting: WaitingEntry | undefined;
}

/** Finds attempts by their id, request and ingress. */
export class AttemptTable {
  readonly #attempts = new Map<AttemptId, RunningGrant>();
  readonly #byRequest = new Map<RequestId, RunningGrant>();
  readonly #byIngress = new Map<VmId, Set<RunningGrant>>();

  get size(): number {
    return this.#attempts.size;
  }

  add(grant: RunningGrant): void {
    this.#attempts.set(grant.attempt, grant);
    this.#byRequest.set(grant.request, grant);
    const ofIngress = this.#byIngress.get(grant.ingress) ?? new Set();
    ofIngress.add(grant);
    this.#byIngress.set(grant.ingress, ofIngress);
  }

  find(attempt: AttemptId): RunningGrant | undefined {
    return this.#attempts.get(attempt);
  }

  findByRequest(request: RequestId): RunningGrant | undefined {
    return this.#byRequest.get(request);
  }

  /** Takes an attempt out; undefined when it is not known. */
  remove(attempt: AttemptId): RunningGrant | undefined {
    const grant = this.#attempts.get(attempt);
    if (grant === undefined) {
      return undefined;
    }
    this.#attempts.delete(attempt);
    if (this.#byRequest.get(grant.request) === grant) {
      this.#byRequest.delete(grant.request);
    }
    const ofIngress = this.#byIngress.get(grant.ingress);
    ofIngress?.delete(grant);
    if (ofIngress?.size === 0) {
      this.#byIngress.delete(grant.ingress);
    }
    return grant;
  }

  listOfIngress(ingress: VmId): RunningGrant[] {
    return [...this.#byIngress.get(ingress) ?? []];
  }

  list(): RunningGrant[] {
    return [...this.#attempts.values()];
  }

  /** What the next scheduler should know of the attempts. */
  listHanded(): HandedAttempt[] {
    return this.list().map((grant) => ({
      request: grant.request,
      attempt: grant.attempt,
      endpoint: grant.endpoint,
      organisation: grant.charge.organisation,
      cost: grant.charge.amount,
      fingerprint: grant.fingerprint,
      ingress: grant.ingress,
    }));
  }

  /** Whether a body runs now. */
  hasFingerprint(fingerprint: string): boolean {
    for (const grant of this.#attempts.values()) {
      if (grant.fingerprint === fingerprint) {
        return true;
      }
    }
    return false;
  }
}
