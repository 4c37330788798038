/** Finds prompt parts that crash the engines that respond to them. */

import type { Clock, Logger } from "@rattanvane/base";
import type {
  CrashReport,
  EndpointId,
  ReportedPart,
  SoundPart,
} from "@rattanvane/protocol";

/** Crashes, each after the one before, until a part is quarantined. */
const CRASHES_UNTIL_QUARANTINE = 3;
/** Crashes are remembered, and a part is quarantined, for this time. */
const EVIDENCE_LIFETIME_MILLISECONDS = 600_000;
const MAX_CRASHES = 256;
/** How many parts with a response are remembered, the newest ones. */
const MAX_SOUND_PARTS = 4_096;
/** New observations are repeated to peers for this time. */
const REPORT_MILLISECONDS = 1_500;

/** A prompt part of requests without a response at the time of a crash. */
export interface SuspectPart {
  /** Identifies the part among those of all services. */
  part: string;
  /** When the latest of the requests was sent, in clock time. */
  sentAt: number;
  /** The position of the part in the prompt. */
  depth: number;
}

/** One crash of an endpoint's process. */
export interface Crash {
  endpoint: EndpointId;
  startedAtUnixMilliseconds: number;
  /** In clock time. */
  at: number;
  parts: readonly SuspectPart[];
}

interface KnownCrash {
  endpoint: EndpointId;
  startedAtUnixMilliseconds: number;
  at: number;
  parts: Map<string, SuspectPart>;
  /** When this VM itself last added a part. */
  observedAt: number;
}

/** The crashes that one part may have caused. */
interface Blame {
  crashes: number;
  lastCountedAt: number;
  depth: number;
}

/** Dependencies of {@link PromptPartSuspects}. */
export interface PromptPartSuspectsOptions {
  clock: Clock;
  logger: Logger;
}

/**
 * Requests with a part that crashes engines share it and may have nothing else
 * in common. Each crash also takes sound requests with it, which share most of
 * their parts with many others. A part is blamed for a crash when a request with
 * it had no response yet, and is cleared of all earlier crashes when an engine
 * responds to another request with it. Engines that are lost together, as when a
 * zone is cut off, count as one crash: the next one counts only with a request
 * that was sent afterwards.
 */
export class PromptPartSuspects {
  readonly #options: PromptPartSuspectsOptions;
  readonly #crashes = new Map<string, KnownCrash>();
  readonly #crashesByPart = new Map<string, Set<KnownCrash>>();
  /** When the latest response to a part began, oldest first. */
  readonly #soundAt = new Map<string, number>();
  /** Parts that a response has just cleared. */
  readonly #clearedParts = new Map<string, number>();
  /** When the latest response to any part began. */
  #lastResponseAt = -Infinity;
  #quarantined = new Set<string>();
  #isOutdated = false;

  constructor(options: PromptPartSuspectsOptions) {
    this.#options = options;
  }

  /** The number of parts whose requests are refused. */
  get size(): number {
    return this.#findQuarantined().size;
  }

  /** Whether any of these parts is quarantined. */
  hasQuarantined(parts: readonly string[]): boolean {
    const quarantined = this.#findQuarantined();
    return quarantined.size > 0 && parts.some((part) => quarantined.has(part));
  }

  /** Records a crash that this VM observed. */
  recordCrash(crash: Crash): void {
    const known = this.#addCrash(crash);
    known.observedAt = this.#options.clock.now();
  }

  /** Records that the response to a request with these parts began then. */
  recordResponse(parts: readonly string[], at: number): void {
    for (const part of parts) {
      if (this.#clear(part, at)) {
        this.#clearedParts.set(part, at);
      }
    }
    if (this.#clearedParts.size > 0) {
      this.#evictClearedParts();
    }
  }

  /** Merges what another VM observed. */
  merge(
    crashes: readonly CrashReport[],
    soundParts: readonly SoundPart[],
  ): void {
    const now = this.#options.clock.now();
    for (const { ageMilliseconds, parts, ...crash } of crashes) {
      this.#addCrash({
        ...crash,
        at: now - ageMilliseconds,
        parts: parts.map(({ part, depth, sentAgeMilliseconds }) => ({
          part,
          depth,
          sentAt: now - sentAgeMilliseconds,
        })),
      });
    }
    for (const { part, ageMilliseconds } of soundParts) {
      this.#clear(part, now - ageMilliseconds);
    }
  }

  /**
   * Lists new crashes, and those of quarantined parts for VMs that have started
   * since.
   */
  listReports(): CrashReport[] {
    const now = this.#options.clock.now();
    const quarantined = this.#findQuarantined();
    const reports: CrashReport[] = [];
    for (const crash of this.#crashes.values()) {
      const isNew = now - crash.observedAt <= REPORT_MILLISECONDS;
      const parts = [...crash.parts.values()].filter(({ part }) =>
        isNew || quarantined.has(part)
      );
      if (parts.length > 0) {
        reports.push({
          endpoint: crash.endpoint,
          startedAtUnixMilliseconds: crash.startedAtUnixMilliseconds,
          ageMilliseconds: now - crash.at,
          parts: parts.map((part) => convertPart(part, now)),
        });
      }
    }
    return reports;
  }

  /** Lists the parts of crashes that responses at this VM have cleared. */
  listSoundParts(): SoundPart[] {
    this.#evictClearedParts();
    const now = this.#options.clock.now();
    return [...this.#clearedParts].map(([part, at]) => ({
      part,
      ageMilliseconds: now - at,
    }));
  }

  #addCrash(crash: Crash): KnownCrash {
    const id = `${crash.endpoint} ${crash.startedAtUnixMilliseconds}`;
    const known = this.#crashes.get(id) ?? {
      endpoint: crash.endpoint,
      startedAtUnixMilliseconds: crash.startedAtUnixMilliseconds,
      at: crash.at,
      parts: new Map<string, SuspectPart>(),
      observedAt: -Infinity,
    };
    this.#crashes.set(id, known);
    known.at = Math.min(known.at, crash.at);
    for (const part of crash.parts) {
      const soundAt = this.#soundAt.get(part.part) ?? -Infinity;
      const former = known.parts.get(part.part)?.sentAt ?? -Infinity;
      if (soundAt < known.at && part.sentAt > former) {
        known.parts.set(part.part, part);
        this.#findCrashes(part.part).add(known);
        this.#isOutdated = true;
      }
    }
    this.#evictCrashes();
    return known;
  }

  /** Clears a part of earlier crashes; returns whether it was blamed for any. */
  #clear(part: string, at: number): boolean {
    const soundAt = Math.max(at, this.#soundAt.get(part) ?? -Infinity);
    const isFirst = this.#soundAt.size === 0;
    if (isFirst || (at > this.#lastResponseAt && this.#crashes.size > 0)) {
      this.#isOutdated = true;
    }
    this.#lastResponseAt = Math.max(this.#lastResponseAt, at);
    this.#soundAt.delete(part);
    this.#soundAt.set(part, soundAt);
    if (this.#soundAt.size > MAX_SOUND_PARTS) {
      const [oldest] = this.#soundAt.keys();
      this.#soundAt.delete(oldest ?? "");
    }
    let wasBlamed = false;
    for (const crash of this.#crashesByPart.get(part) ?? []) {
      if (crash.at <= at) {
        wasBlamed = true;
        this.#removePart(crash, part);
      }
    }
    return wasBlamed;
  }

  #findCrashes(part: string): Set<KnownCrash> {
    const existing = this.#crashesByPart.get(part);
    if (existing !== undefined) {
      return existing;
    }
    const created = new Set<KnownCrash>();
    this.#crashesByPart.set(part, created);
    return created;
  }

  #removePart(crash: KnownCrash, part: string): void {
    crash.parts.delete(part);
    const crashes = this.#crashesByPart.get(part);
    crashes?.delete(crash);
    if (crashes?.size === 0) {
      this.#crashesByPart.delete(part);
    }
    this.#isOutdated = true;
  }

  #evictCrashes(): void {
    const earliest = this.#options.clock.now() - EVIDENCE_LIFETIME_MILLISECONDS;
    for (const [id, crash] of this.#crashes) {
      if (crash.at >= earliest && this.#crashes.size <= MAX_CRASHES) {
        return;
      }
      this.#crashes.delete(id);
      for (const part of [...crash.parts.keys()]) {
        this.#removePart(crash, part);
      }
    }
  }

  #evictClearedParts(): void {
    const earliest = this.#options.clock.now() - REPORT_MILLISECONDS;
    for (const [part, at] of this.#clearedParts) {
      if (at < earliest) {
        this.#clearedParts.delete(part);
      }
    }
  }

  #findQuarantined(): ReadonlySet<string> {
    this.#evictCrashes();
    if (!this.#isOutdated) {
      return this.#quarantined;
    }
    this.#isOutdated = false;
    const quarantined = this.#computeQuarantined();
    this.#logChanges(quarantined);
    this.#quarantined = quarantined;
    return quarantined;
  }

  /**
   * Parts without any response come first: of these, the one that explains most
   * crashes. A part is not blamed for being in the same requests as another.
   */
  #computeQuarantined(): Set<string> {
    const quarantined = new Set<string>();
    if (this.#soundAt.size === 0) {
      // Without any response, nothing tells the parts of requests apart.
      return quarantined;
    }
    let unexplained = [...this.#crashes.values()]
      .sort((first, second) => first.at - second.at);
    for (;;) {
      const part = this.#pickNeverSound(unexplained);
      if (part === undefined) {
        break;
      }
      quarantined.add(part);
      unexplained = unexplained.filter(({ parts }) => !parts.has(part));
    }
    for (const part of this.#listOnceSound(unexplained)) {
      quarantined.add(part);
    }
    return quarantined;
  }

  #pickNeverSound(crashes: readonly KnownCrash[]): string | undefined {
    let best: string | undefined;
    let bestBlame: Blame | undefined;
    for (const [part, blame] of computeBlames(crashes)) {
      const isCandidate = blame.crashes >= CRASHES_UNTIL_QUARANTINE &&
        !this.#soundAt.has(part);
      if (isCandidate && isMoreLikely(blame, bestBlame)) {
        best = part;
        bestBlame = blame;
      }
    }
    return best;
  }

  /**
   * Lists parts that had responses before and crash engines now. While no engine
   * responds to anything, that a part has no response says nothing of it.
   */
  #listOnceSound(crashes: readonly KnownCrash[]): string[] {
    const recurring = this.#listRecurringNeverSound(crashes);
    const unexplained = crashes.filter(({ parts }) =>
      !recurring.some((part) => parts.has(part))
    );
    return [...computeBlames(unexplained)]
      .filter(([part, blame]) =>
        blame.crashes >= CRASHES_UNTIL_QUARANTINE && this.#soundAt.has(part) &&
        this.#lastResponseAt > blame.lastCountedAt
      )
      .map(([part]) => part);
  }

  #listRecurringNeverSound(crashes: readonly KnownCrash[]): string[] {
    const counts = new Map<string, number>();
    for (const { parts } of crashes) {
      for (const part of parts.keys()) {
        counts.set(part, (counts.get(part) ?? 0) + 1);
      }
    }
    return [...counts].filter(([part, count]) =>
      count > 1 && !this.#soundAt.has(part)
    ).map(([part]) => part);
  }

  #logChanges(quarantined: ReadonlySet<string>): void {
    const { logger } = this.#options;
    for (const part of quarantined) {
      if (!this.#quarantined.has(part)) {
        const crashes = this.#crashesByPart.get(part)?.size ?? 0;
        logger.warn("requests with a prompt part are refused", {
          part,
          crashes,
        });
      }
    }
    for (const part of this.#quarantined) {
      if (!quarantined.has(part)) {
        logger.info("requests with a prompt part are served again", { part });
      }
    }
  }
}

/** Counts for each part the crashes that followed each other. */
function computeBlames(crashes: readonly KnownCrash[]): Map<string, Blame> {
  const blames = new Map<string, Blame>();
  for (const { at, parts } of crashes) {
    for (const { part, sentAt, depth } of parts.values()) {
      const blame = blames.get(part) ??
        { crashes: 0, lastCountedAt: -Infinity, depth };
      if (sentAt > blame.lastCountedAt) {
        blame.crashes++;
        blame.lastCountedAt = at;
      }
      blames.set(part, blame);
    }
  }
  return blames;
}

/** Whether a part with a blame is a likelier cause than another one. */
function isMoreLikely(blame: Blame, other: Blame | undefined): boolean {
  return other === undefined || blame.crashes > other.crashes ||
    (blame.crashes === other.crashes && blame.depth > other.depth);
}

function convertPart(
  { part, sentAt, depth }: SuspectPart,
  now: number,
): ReportedPart {
  return { part, depth, sentAgeMilliseconds: now - sentAt };
}
