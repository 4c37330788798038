/** Decides which lost attempts were lost in a crash. */

import type { AttemptId, EndpointId } from "@rattanvane/protocol";
import type { SuspectRegistry } from "./suspect_registry.ts";

/** An attempt whose connection broke while it ran. */
export interface LostAttempt {
  attempt: AttemptId;
  endpoint: EndpointId;
  fingerprint: string;
  /** When it was granted, in clock time. */
  startedAt: number;
  lostAt: number;
}

/** What a load report tells of an endpoint's boot. */
export interface BootReport {
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  /** When the endpoint says that it started, in clock time. */
  startedAt: number;
}

interface Restart {
  at: number;
  /** Bodies that were counted for this crash already. */
  counted: Set<string>;
}

/** How long a broken connection may wait for a sign of a crash. */
const EVIDENCE_MILLISECONDS = 10_000;

/**
 * A connection also breaks without a crash, as in a network partition. A lost
 * attempt counts as a crash only when its endpoint is then seen to have
 * started anew or to refuse connections; until that is known its body is held.
 */
export class CrashEvidence {
  readonly #registry: SuspectRegistry;
  readonly #lost = new Map<EndpointId, LostAttempt[]>();
  readonly #restarts = new Map<EndpointId, Restart>();

  constructor(registry: SuspectRegistry) {
    this.#registry = registry;
  }

  /** Takes in a lost attempt, before or after its endpoint's restart shows. */
  recordLost(lost: LostAttempt): void {
    if (lost.fingerprint === "") {
      return;
    }
    const restart = this.#restarts.get(lost.endpoint);
    if (restart !== undefined && lost.startedAt <= restart.at) {
      this.#count(lost, restart);
      return;
    }
    const open = this.#lost.get(lost.endpoint) ?? [];
    open.push(lost);
    this.#lost.set(lost.endpoint, open);
  }

  /** Takes in that an endpoint has started anew or refuses connections. */
  recordRestart(endpoint: EndpointId, now: number): void {
    const open = this.#lost.get(endpoint) ?? [];
    this.#lost.delete(endpoint);
    const former = this.#restarts.get(endpoint);
    const isSame = former !== undefined && open.length === 0 &&
      now - former.at < EVIDENCE_MILLISECONDS;
    if (isSame) {
      return;
    }
    const restart = { at: now, counted: new Set<string>() };
    this.#restarts.set(endpoint, restart);
    for (const lost of open) {
      this.#count(lost, restart);
    }
  }

  /** Takes in a report of an endpoint that is not known to have restarted. */
  recordReport(endpoint: EndpointId, report: BootReport): void {
    const open = this.#lost.get(endpoint);
    if (open === undefined) {
      return;
    }
    if (open.some((lost) => lost.startedAt < report.startedAt)) {
      // It began after the attempt, whose boot no report had shown.
      this.recordRestart(endpoint, report.sampledAt);
      return;
    }
    const undecided = open.filter((lost) => lost.lostAt >= report.sampledAt);
    this.#replace(endpoint, undecided);
  }

  /** Drops lost attempts for which no sign of a crash came in time. */
  removeExpired(now: number): void {
    for (const [endpoint, open] of this.#lost) {
      const undecided = open.filter((lost) =>
        now - lost.lostAt < EVIDENCE_MILLISECONDS
      );
      this.#replace(endpoint, undecided);
    }
  }

  /**
   * Whether an endpoint has just lost attempts and may be down: another loss
   * there would be counted as a second crash.
   */
  isUndecided(endpoint: EndpointId): boolean {
    return this.#lost.has(endpoint);
  }

  /** Whether any lost attempt is undecided. */
  hasUndecided(): boolean {
    return this.#lost.size > 0;
  }

  /** How many of a body's lost attempts are undecided. */
  countUndecided(fingerprint: string): number {
    let count = 0;
    for (const open of this.#lost.values()) {
      if (open.some((lost) => lost.fingerprint === fingerprint)) {
        count++;
      }
    }
    return count;
  }

  #replace(endpoint: EndpointId, undecided: LostAttempt[]): void {
    if (undecided.length === 0) {
      this.#lost.delete(endpoint);
    } else {
      this.#lost.set(endpoint, undecided);
    }
  }

  /** Counts a body once a crash, however many copies of it ran. */
  #count(lost: LostAttempt, restart: Restart): void {
    if (restart.counted.has(lost.fingerprint)) {
      return;
    }
    restart.counted.add(lost.fingerprint);
    this.#registry.recordCrash(lost.fingerprint, lost.attempt);
  }
}
