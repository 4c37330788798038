/** Remembers request bodies that were running when endpoints crashed. */

import type { Clock } from "@rattanvane/base";
import type { AttemptId, SuspectFingerprint } from "@rattanvane/protocol";

/** Settings of the quarantine. */
export interface SuspectSettings {
  /** How long a body is suspect, or refused, after its last crash. */
  quarantineMilliseconds: number;
  /** Crashes after which a body is refused. */
  crashesUntilQuarantine: number;
  /** How many bodies are remembered. */
  rememberedFingerprints: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_SUSPECT_SETTINGS: SuspectSettings = {
  quarantineMilliseconds: 600_000,
  crashesUntilQuarantine: 2,
  rememberedFingerprints: 2000,
};

interface Suspect {
  crashes: Set<AttemptId>;
  /** Crashes that a later whole answer has shown to be no fault of the body. */
  cleared: Set<AttemptId>;
  lastCrashAt: number;
}

/**
 * The VM's knowledge of suspects. Merging is idempotent: a crash is named by
 * one of the attempts that ran, and only a crash that was not known moves the
 * time of the last one, so news that goes in circles does not keep itself
 * alive. Expired suspects are kept as long again for the same reason.
 */
export class SuspectRegistry {
  readonly #clock: Clock;
  readonly #settings: SuspectSettings;
  readonly #suspects = new Map<string, Suspect>();

  constructor(clock: Clock, settings: SuspectSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Records a crash; one attempt for each crash and fingerprint. */
  recordCrash(fingerprint: string, attempt: AttemptId): void {
    this.merge([{
      fingerprint,
      crashedAttempts: [attempt],
      ageMilliseconds: 0,
    }]);
  }

  /** Clears a body that an endpoint has answered in whole. */
  recordCompletion(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    for (const crash of suspect?.crashes ?? []) {
      suspect?.cleared.add(crash);
    }
  }

  /** Whether a body has to run alone. */
  isSuspect(fingerprint: string): boolean {
    return this.#countCrashes(fingerprint) > 0;
  }

  /** Whether a body is refused, or would be if undecided crashes counted. */
  isQuarantined(fingerprint: string, undecided = 0): boolean {
    const crashes = this.#countCrashes(fingerprint) + undecided;
    return crashes >= this.#settings.crashesUntilQuarantine;
  }

  /** How many bodies are refused now. */
  countQuarantined(): number {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isQuarantined(fingerprint)).length;
  }

  /** How long ago a body's last crash was, in milliseconds. */
  computeAge(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return this.#clock.now() - (suspect?.lastCrashAt ?? -Infinity);
  }

  /** How long a body stays refused, in milliseconds. */
  computeRetryAfter(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? 0 : Math.max(0, this.#computeRest(suspect));
  }

  /** Takes in what other VMs know. */
  merge(suspects: readonly SuspectFingerprint[]): void {
    for (const news of suspects) {
      this.#mergeOne(news);
    }
    this.#forgetOld();
  }

  /** What other VMs should know. */
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

  #mergeOne(news: SuspectFingerprint): void {
    const suspect = this.#suspects.get(news.fingerprint) ??
      { crashes: new Set(), cleared: new Set(), lastCrashAt: -Infinity };
    const known = suspect.crashes.size;
    for (const attempt of news.crashedAttempts) {
      suspect.crashes.add(attempt);
    }
    if (suspect.crashes.size === known) {
      return;
    }
    const crashAt = this.#clock.now() - news.ageMilliseconds;
    suspect.lastCrashAt = Math.max(suspect.lastCrashAt, crashAt);
    this.#suspects.delete(news.fingerprint);
    this.#suspects.set(news.fingerprint, suspect);
  }

  #countCrashes(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || this.#computeRest(suspect) <= 0) {
      return 0;
    }
    return suspect.crashes.size - suspect.cleared.size;
  }

  #computeRest(suspect: Suspect): number {
    const age = this.#clock.now() - suspect.lastCrashAt;
    return this.#settings.quarantineMilliseconds - age;
  }

  #forgetOld(): void {
    for (const [fingerprint, suspect] of this.#suspects) {
      const isOver =
        this.#computeRest(suspect) <= -this.#settings.quarantineMilliseconds;
      const isTooMany =
        this.#suspects.size > this.#settings.rememberedFingerprints;
      if (isOver || isTooMany) {
        this.#suspects.delete(fingerprint);
      }
    }
  }
}
