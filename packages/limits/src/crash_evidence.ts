/** Decides which lost attempts were lost in a crash of their endpoint. */

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

/** The part of a load report that concerns the endpoint's boot. */
export interface BootReport {
  /** When the figures were taken, in clock time. */
  sampledAt: number;
  /** Start time that the endpoint reports, in clock time. */
  startedAt: number;
}

interface Restart {
  at: number;
  /** Request bodies that have already been counted for this crash. */
  countedFingerprints: Set<string>;
}

/** Time that a lost attempt stays undecided without evidence of a crash. */
const EVIDENCE_TIMEOUT_MILLISECONDS = 10_000;

/**
 * A connection may also break without a crash, for example in a network
 * partition. A lost attempt counts as a crash only when its endpoint turns out
 * to have restarted or to refuse connections. Until that is known, the attempt
 * is undecided and its request body is held back.
 */
export class CrashEvidence {
  readonly #registry: SuspectRegistry;
  readonly #lostAttempts = new Map<EndpointId, LostAttempt[]>();
  readonly #restarts = new Map<EndpointId, Restart>();

  constructor(registry: SuspectRegistry) {
    this.#registry = registry;
  }

  /** Records a lost attempt, before or after its endpoint's restart is known. */
  recordLost(lost: LostAttempt): void {
    if (lost.fingerprint === "") {
      return;
    }
    const restart = this.#restarts.get(lost.endpoint);
    if (restart !== undefined && lost.startedAt <= restart.at) {
      this.#countCrash(lost, restart);
      return;
    }
    const undecided = this.#lostAttempts.get(lost.endpoint) ?? [];
    undecided.push(lost);
    this.#lostAttempts.set(lost.endpoint, undecided);
  }

  /** Records that an endpoint has restarted or refuses connections. */
  recordRestart(endpoint: EndpointId, now: number): void {
    const undecided = this.#lostAttempts.get(endpoint) ?? [];
    this.#lostAttempts.delete(endpoint);
    const previous = this.#restarts.get(endpoint);
    const isSameRestart = previous !== undefined && undecided.length === 0 &&
      now - previous.at < EVIDENCE_TIMEOUT_MILLISECONDS;
    if (isSameRestart) {
      return;
    }
    const restart = { at: now, countedFingerprints: new Set<string>() };
    this.#restarts.set(endpoint, restart);
    for (const lost of undecided) {
      this.#countCrash(lost, restart);
    }
  }

  /** Records a report of an endpoint that is not known to have restarted. */
  recordReport(endpoint: EndpointId, report: BootReport): void {
    const undecided = this.#lostAttempts.get(endpoint);
    if (undecided === undefined) {
      return;
    }
    if (undecided.some((lost) => lost.startedAt < report.startedAt)) {
      // The endpoint started after the attempt: it has restarted, although no
      // report had shown the boot that the attempt ran in.
      this.recordRestart(endpoint, report.sampledAt);
      return;
    }
    const remaining = undecided.filter((lost) =>
      lost.lostAt >= report.sampledAt
    );
    this.#updateUndecided(endpoint, remaining);
  }

  /** Removes lost attempts for which no evidence of a crash came in time. */
  removeExpired(now: number): void {
    for (const [endpoint, undecided] of this.#lostAttempts) {
      const remaining = undecided.filter((lost) =>
        now - lost.lostAt < EVIDENCE_TIMEOUT_MILLISECONDS
      );
      this.#updateUndecided(endpoint, remaining);
    }
  }

  /**
   * Whether an endpoint has undecided lost attempts and may be down. Attempts
   * that are lost there in the meantime would count as a second crash.
   */
  isUndecided(endpoint: EndpointId): boolean {
    return this.#lostAttempts.has(endpoint);
  }

  /** Whether any lost attempt is undecided. */
  hasUndecided(): boolean {
    return this.#lostAttempts.size > 0;
  }

  /** Counts the endpoints at which a body has undecided lost attempts. */
  countUndecided(fingerprint: string): number {
    let count = 0;
    for (const undecided of this.#lostAttempts.values()) {
      if (undecided.some((lost) => lost.fingerprint === fingerprint)) {
        count++;
      }
    }
    return count;
  }

  #updateUndecided(endpoint: EndpointId, undecided: LostAttempt[]): void {
    if (undecided.length === 0) {
      this.#lostAttempts.delete(endpoint);
    } else {
      this.#lostAttempts.set(endpoint, undecided);
    }
  }

  /** Counts a body once per crash, however many copies of it were running. */
  #countCrash(lost: LostAttempt, restart: Restart): void {
    if (restart.countedFingerprints.has(lost.fingerprint)) {
      return;
    }
    restart.countedFingerprints.add(lost.fingerprint);
    this.#registry.recordCrash(lost.fingerprint, lost.attempt);
  }
}
