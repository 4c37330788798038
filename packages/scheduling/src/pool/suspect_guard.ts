/** Keeps requests that may crash endpoints from taking others with them. */

import type { QueueEntry } from "@rattanvane/protocol";
import {
  isServing,
  pickIdlePlacement,
  pickWard,
  type Placement,
} from "./placement.ts";
import type { PoolEndpoint } from "./pool_endpoints.ts";
import type { PoolState } from "./pool_state.ts";

/** How an entry may be run. */
export enum Suspicion {
  None = "none",
  /** It must run alone, and only one of its body at a time. */
  Suspect = "suspect",
  /** It may have crashed endpoints twice, or the news still spreads. */
  Held = "held",
  Quarantined = "quarantined",
}

/** The part of a pool's endpoints that may be kept for suspects. */
const WARD_SHARE = 0.25;

/** Judges entries by their fingerprints and keeps endpoints for suspects. */
export class SuspectGuard {
  readonly #state: PoolState;
  readonly #wards = new Set<PoolEndpoint>();

  constructor(state: PoolState) {
    this.#state = state;
  }

  /** Judges a body by the crashes that are known or undecided. */
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

  /** Whether a suspect may be moved: its crashes must be known elsewhere. */
  canMove(fingerprint: string): boolean {
    const suspicion = this.judge(fingerprint);
    if (suspicion === Suspicion.None) {
      return true;
    }
    return suspicion === Suspicion.Suspect && this.#hasSpread(fingerprint);
  }

  /** Finds a drained endpoint for a suspect of which no copy runs. */
  pickPlacement(entry: QueueEntry): Placement | undefined {
    if (this.#state.attempts.hasFingerprint(entry.fingerprint)) {
      return undefined;
    }
    return pickIdlePlacement(this.#state, entry);
  }

  /** Keeps as many endpoints for suspects as waiting ones call for. */
  updateWards(waitingSuspects: number): void {
    const { endpoints } = this.#state;
    const most = Math.max(1, Math.floor(endpoints.size * WARD_SHARE));
    const wanted = Math.min(waitingSuspects, most);
    for (const ward of this.#wards) {
      if (this.#wards.size > wanted || !isServing(ward)) {
        ward.isWard = false;
        this.#wards.delete(ward);
      }
    }
    while (this.#wards.size < wanted) {
      const ward = pickWard(this.#state);
      if (ward === undefined) {
        return;
      }
      ward.isWard = true;
      this.#wards.add(ward);
    }
  }

  /** A caller that is refused too soon finds a zone that knows nothing yet. */
  #judgeQuarantined(fingerprint: string): Suspicion {
    return this.#hasSpread(fingerprint)
      ? Suspicion.Quarantined
      : Suspicion.Held;
  }

  #hasSpread(fingerprint: string): boolean {
    const { suspects, settings } = this.#state.options;
    const age = suspects.computeAge(fingerprint);
    return age >= settings.quarantineSpreadMilliseconds;
  }
}
