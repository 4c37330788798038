/** Attempts that a pool's scheduler granted or took over from another. */

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

/** A granted attempt that is not known to have ended. */
export interface RunningGrant {
  readonly attempt: AttemptId;
  readonly request: RequestId;
  readonly ingress: VmId;
  readonly endpoint: EndpointId;
  readonly fingerprint: string;
  readonly charge: Charge;
  readonly grantedAt: number;
  /** How many earlier attempts of the request were sent to an endpoint. */
  readonly attemptsMade: number;
  /** The grant message, for resending; undefined for an attempt taken over. */
  readonly message: GrantMessage | undefined;
  /** When the attempt was granted or last reported on, in clock time. */
  lastReportAt: number;
  /** The cost that its ingress has reported so far, in cost units. */
  reportedCost: number;
  /** The granted entry; undefined for an attempt taken over. */
  waiting: WaitingEntry | undefined;
}

/** Indexes attempts by id, request and ingress. */
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
    const ingressGrants = this.#byIngress.get(grant.ingress) ?? new Set();
    ingressGrants.add(grant);
    this.#byIngress.set(grant.ingress, ingressGrants);
  }

  find(attempt: AttemptId): RunningGrant | undefined {
    return this.#attempts.get(attempt);
  }

  findByRequest(request: RequestId): RunningGrant | undefined {
    return this.#byRequest.get(request);
  }

  /** Removes and returns an attempt; undefined if it is unknown. */
  remove(attempt: AttemptId): RunningGrant | undefined {
    const grant = this.#attempts.get(attempt);
    if (grant === undefined) {
      return undefined;
    }
    this.#attempts.delete(attempt);
    if (this.#byRequest.get(grant.request) === grant) {
      this.#byRequest.delete(grant.request);
    }
    const ingressGrants = this.#byIngress.get(grant.ingress);
    ingressGrants?.delete(grant);
    if (ingressGrants?.size === 0) {
      this.#byIngress.delete(grant.ingress);
    }
    return grant;
  }

  listByIngress(ingress: VmId): RunningGrant[] {
    return [...this.#byIngress.get(ingress) ?? []];
  }

  list(): RunningGrant[] {
    return [...this.#attempts.values()];
  }

  /** Lists the attempts in the form in which a handover sends them. */
  listForHandover(): HandedAttempt[] {
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

  /** Whether an attempt with this body fingerprint is running. */
  hasFingerprint(fingerprint: string): boolean {
    for (const grant of this.#attempts.values()) {
      if (grant.fingerprint === fingerprint) {
        return true;
      }
    }
    return false;
  }
}
