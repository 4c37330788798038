/** Isolates requests that may crash endpoints from other requests. */

import type { QueueEntry } from "@rattanvane/protocol";
import {
  isServing,
  pickEndpointToReserve,
  pickIdlePlacement,
  type Placement,
} from "./placement.ts";
import type { PoolEndpoint } from "./pool_endpoints.ts";
import type { PoolState } from "./pool_state.ts";

/** How far an entry's body is suspected of crashing endpoints. */
export enum Suspicion {
  /** It may run beside other requests. */
  None = "none",
  /** It must run alone, and only one request with its body at a time. */
  Suspect = "suspect",
  /** It may have crashed endpoints twice, or its quarantine is propagating. */
  Held = "held",
  /** It is refused. */
  Quarantined = "quarantined",
}

/** The largest fraction of a pool's endpoints that is reserved for suspects. */
const MAX_RESERVED_SHARE = 0.25;

/** Judges entries by their fingerprints and reserves endpoints for suspects. */
export class SuspectGuard {
  readonly #state: PoolState;
  readonly #reserved = new Set<PoolEndpoint>();

  constructor(state: PoolState) {
    this.#state = state;
  }

  /** Judges a body by its known crashes and its undecided lost attempts. */
  judge(fingerprint: string): Suspicion {
    const { suspects } = this.#state.options;
    if (suspects.isQuarantined(fingerprint)) {
      return this.#judgeQuarantined(fingerprint);
    }
    const undecided = this.#state.evidence.countUndecided(fingerprint);
    if (suspects.isQuarantined(fingerprint, undecided)) {
      return Suspicion.Held;
    }
    const isSuspect = undecided > 0 || suspects.isSuspect(fingerprint);
    return isSuspect ? Suspicion.Suspect : Suspicion.None;
  }

  /**
   * Whether an entry may move to another zone. A suspect may only move when its
   * crashes had time to become known there.
   */
  canMove(fingerprint: string): boolean {
    const suspicion = this.judge(fingerprint);
    if (suspicion === Suspicion.None) {
      return true;
    }
    return suspicion === Suspicion.Suspect && this.#hasPropagated(fingerprint);
  }

  /**
   * Picks an idle endpoint for a suspect; returns undefined while a request
   * with the same body runs.
   */
  pickPlacement(entry: QueueEntry): Placement | undefined {
    if (this.#state.attempts.hasFingerprint(entry.fingerprint)) {
      return undefined;
    }
    return pickIdlePlacement(this.#state, entry);
  }

  /**
   * Reserves one endpoint per waiting suspect, up to the maximum share of the
   * pool, and releases endpoints that are not needed or not serving any more.
   * Even a small pool can reserve one endpoint.
   */
  updateReservations(waitingSuspects: number): void {
    const { endpoints } = this.#state;
    const maxReserved = Math.max(
      1,
      Math.floor(endpoints.size * MAX_RESERVED_SHARE),
    );
    const wanted = Math.min(waitingSuspects, maxReserved);
    for (const endpoint of this.#reserved) {
      if (this.#reserved.size > wanted || !isServing(endpoint)) {
        endpoint.isReserved = false;
        this.#reserved.delete(endpoint);
      }
    }
    while (this.#reserved.size < wanted) {
      const endpoint = pickEndpointToReserve(this.#state);
      if (endpoint === undefined) {
        return;
      }
      endpoint.isReserved = true;
      this.#reserved.add(endpoint);
    }
  }

  /**
   * Holds a quarantined body until its quarantine has propagated: a caller that
   * is refused earlier could retry in a zone that does not know of it yet.
   */
  #judgeQuarantined(fingerprint: string): Suspicion {
    return this.#hasPropagated(fingerprint)
      ? Suspicion.Quarantined
      : Suspicion.Held;
  }

  #hasPropagated(fingerprint: string): boolean {
    const { suspects, settings } = this.#state.options;
    const age = suspects.computeCrashAge(fingerprint);
    return age >= settings.quarantinePropagationMilliseconds;
  }
}
