/** Tracks request bodies that were running when endpoints crashed. */

import type { Clock } from "@rattanvane/base";
import type { AttemptId, SuspectFingerprint } from "@rattanvane/protocol";

/** Settings of the quarantine of request bodies. */
export interface SuspectSettings {
  /** Time after its last crash for which a body is suspect or refused. */
  quarantineMilliseconds: number;
  /** Number of crashes after which a body is refused. */
  crashesUntilQuarantine: number;
  /** Maximum number of bodies that are tracked. */
  maximumFingerprints: number;
}

/** Default settings, suitable for most fleets. */
export const DEFAULT_SUSPECT_SETTINGS: SuspectSettings = {
  quarantineMilliseconds: 600_000,
  crashesUntilQuarantine: 2,
  maximumFingerprints: 2000,
};

interface Suspect {
  crashes: Set<AttemptId>;
  /** Crashes that a later complete answer showed not to be the body's fault. */
  cleared: Set<AttemptId>;
  lastCrashAt: number;
}

/**
 * Keeps the suspects that this VM knows of and exchanges them with other VMs.
 *
 * Merging is idempotent: a crash is identified by one of the attempts that were
 * running, and only a new crash updates the time of the last one. Updates that
 * circulate between VMs therefore cannot extend a quarantine. For the same
 * reason, expired suspects are kept for as long again.
 */
export class SuspectRegistry {
  readonly #clock: Clock;
  readonly #settings: SuspectSettings;
  readonly #suspects = new Map<string, Suspect>();

  constructor(clock: Clock, settings: SuspectSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Records a crash; to be called with one attempt per crash and fingerprint. */
  recordCrash(fingerprint: string, attempt: AttemptId): void {
    this.merge([{
      fingerprint,
      crashedAttempts: [attempt],
      ageMilliseconds: 0,
    }]);
  }

  /** Clears the crashes of a body that an endpoint has answered completely. */
  recordCompletion(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    for (const crash of suspect?.crashes ?? []) {
      suspect?.cleared.add(crash);
    }
  }

  /** Whether a body must run without other requests at its endpoint. */
  isSuspect(fingerprint: string): boolean {
    return this.#countCrashes(fingerprint) > 0;
  }

  /** Whether a body is refused, counting `undecided` as further crashes. */
  isQuarantined(fingerprint: string, undecided = 0): boolean {
    const crashes = this.#countCrashes(fingerprint) + undecided;
    return crashes >= this.#settings.crashesUntilQuarantine;
  }

  /** Counts the bodies that are currently refused. */
  countQuarantined(): number {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isQuarantined(fingerprint)).length;
  }

  /**
   * Computes the time since a body's last crash, in milliseconds; Infinity for
   * an unknown body.
   */
  computeCrashAge(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return this.#clock.now() - (suspect?.lastCrashAt ?? -Infinity);
  }

  /** Computes for how long a body is still refused, in milliseconds. */
  computeRetryAfter(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined
      ? 0
      : Math.max(0, this.#computeRemaining(suspect));
  }

  /** Merges the suspects that another VM knows of. */
  merge(suspects: readonly SuspectFingerprint[]): void {
    for (const update of suspects) {
      this.#mergeSuspect(update);
    }
    this.#evictSuspects();
  }

  /** Lists the suspects to send to other VMs. */
  listSuspects(): SuspectFingerprint[] {
    const listed: SuspectFingerprint[] = [];
    for (const [fingerprint, suspect] of this.#suspects) {
      if (this.#countCrashes(fingerprint) > 0) {
        listed.push({
          fingerprint,
          crashedAttempts: [...suspect.crashes],
          ageMilliseconds: this.#clock.now() - suspect.lastCrashAt,
        });
      }
    }
    return listed;
  }

  #mergeSuspect(update: SuspectFingerprint): void {
    const suspect = this.#suspects.get(update.fingerprint) ??
      { crashes: new Set(), cleared: new Set(), lastCrashAt: -Infinity };
    const crashesBefore = suspect.crashes.size;
    for (const attempt of update.crashedAttempts) {
      suspect.crashes.add(attempt);
    }
    if (suspect.crashes.size === crashesBefore) {
      return;
    }
    const crashAt = this.#clock.now() - update.ageMilliseconds;
    suspect.lastCrashAt = Math.max(suspect.lastCrashAt, crashAt);
    this.#suspects.delete(update.fingerprint);
    this.#suspects.set(update.fingerprint, suspect);
  }

  #countCrashes(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || this.#computeRemaining(suspect) <= 0) {
      return 0;
    }
    return suspect.crashes.size - suspect.cleared.size;
  }

  #computeRemaining(suspect: Suspect): number {
    const age = this.#clock.now() - suspect.lastCrashAt;
    return this.#settings.quarantineMilliseconds - age;
  }

  /** Evicts suspects that have long expired or exceed the maximum number. */
  #evictSuspects(): void {
    for (const [fingerprint, suspect] of this.#suspects) {
      const isExpired = this.#computeRemaining(suspect) <=
        -this.#settings.quarantineMilliseconds;
      const isOverCapacity =
        this.#suspects.size > this.#settings.maximumFingerprints;
      if (isExpired || isOverCapacity) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}
