/** Attributes endpoint crashes to the requests that were running. */

import type { Clock, Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { CrashReport, EndpointId, SoundPart } from "@rattanvane/protocol";
import type { SchedulableCall } from "../model/call.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { EndpointRecord } from "../model/endpoint_record.ts";
import {
  PromptPartSuspects,
  type SuspectPart,
} from "./prompt_part_suspects.ts";

/** A crash must be confirmed within this time after the connection broke. */
const CRASH_CONFIRMATION_MILLISECONDS = 8_000;
/**
 * An endpoint may crash after the first byte of a response; one that goes on for
 * this time shows that the request does not crash it.
 */
const SOUND_RESPONSE_MILLISECONDS = 300;
/** Longer ids of prompt parts are not tracked. */
const MAX_PART_LENGTH = 128;

/** One attempt at an endpoint. */
export interface TrackedAttempt {
  endpoint: EndpointId;
  /** Host and port of the endpoint. */
  address: string;
  /** Start time of the endpoint's process. */
  startedAtUnixMilliseconds: number;
  fingerprint: string;
  /** Unique within the fleet. */
  name: string;
  /** The prompt parts that other requests may share with this one. */
  sharedParts: readonly string[];
  sentAt: number;
  /** When the response began; undefined while it has not. */
  respondingAt: number | undefined;
  /** When the connection broke; undefined while it has not. */
  lostAt: number | undefined;
}

/** Dependencies of a {@link CrashTracker}. */
export interface CrashTrackerOptions {
  clock: Clock;
  logger: Logger;
  suspects: SuspectRegistry;
  /** Prefix that makes attempt names unique within the fleet. */
  vm: string;
}

/**
 * Records crashes for the requests whose connection broke. A broken connection
 * alone does not prove a crash, because responses can be lost. It counts as one
 * when this VM or a peer then finds the endpoint unreachable, or another process
 * is at its address.
 */
export class CrashTracker {
  readonly #options: CrashTrackerOptions;
  readonly #parts: PromptPartSuspects;
  /** Attempts whose response has just begun, oldest first. */
  readonly #respondingAttempts: TrackedAttempt[] = [];
  readonly #lostAttempts = new Map<EndpointId, TrackedAttempt[]>();
  #sequence = 0;
  #confirmations = 0;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
    this.#parts = new PromptPartSuspects(options);
  }

  /** The number of prompt parts whose requests are refused. */
  get quarantinedParts(): number {
    return this.#parts.size;
  }

  /** Whether a request is refused because of earlier crashes. */
  isQuarantined(call: SchedulableCall): boolean {
    this.#settleResponses();
    return this.#options.suspects.isQuarantined(call.fingerprint) ||
      this.#parts.hasQuarantined(listSharedParts(call));
  }

  /** Registers an attempt that is about to be sent. */
  registerAttempt(
    record: EndpointRecord,
    call: SchedulableCall,
  ): TrackedAttempt {
    const { id, startedAtUnixMilliseconds } = record;
    this.#sequence++;
    return {
      endpoint: id,
      address: formatAddress(record),
      startedAtUnixMilliseconds,
      fingerprint: call.fingerprint,
      name: `${this.#options.vm}.${this.#sequence}`,
      sharedParts: listSharedParts(call),
      sentAt: this.#options.clock.now(),
      respondingAt: undefined,
      lostAt: undefined,
    };
  }

  /** Records that the response to an attempt has begun. */
  recordResponseStart(attempt: TrackedAttempt): void {
    attempt.respondingAt = this.#options.clock.now();
    if (attempt.sharedParts.length > 0) {
      this.#respondingAttempts.push(attempt);
    }
    this.#settleResponses();
  }

  /** Records how an attempt ended. */
  recordOutcome(attempt: TrackedAttempt, outcome: OutcomeKind): void {
    const { clock, suspects } = this.#options;
    if (outcome === OutcomeKind.Answered) {
      suspects.recordCompletion(attempt.fingerprint);
      const respondingAt = attempt.respondingAt ?? clock.now();
      this.#parts.recordResponse(attempt.sharedParts, respondingAt);
      return;
    }
    const isGone = outcome === OutcomeKind.NotSent ||
      outcome === OutcomeKind.WrongInstance;
    if (isGone) {
      this.confirmCrash(attempt.endpoint);
      return;
    }
    const isLost = outcome === OutcomeKind.Broken ||
      outcome === OutcomeKind.StreamBroken;
    if (isLost) {
      attempt.lostAt = clock.now();
      const lostAttempts = this.#lostAttempts.get(attempt.endpoint) ?? [];
      while (
        lostAttempts[0] !== undefined && !this.#isRecent(lostAttempts[0])
      ) {
        lostAttempts.shift();
      }
      lostAttempts.push(attempt);
      this.#lostAttempts.set(attempt.endpoint, lostAttempts);
    }
  }

  /**
   * Records a crash for each attempt that broke recently at an endpoint. Call
   * it when the endpoint is unreachable or has restarted.
   */
  confirmCrash(endpoint: EndpointId): void {
    this.#confirmAttempts(endpoint, () => true);
  }

  /** Merges a peer's report that an endpoint is unreachable for some time. */
  mergeDownReport(endpoint: EndpointId, ageMilliseconds: number): void {
    const detectedAt = this.#options.clock.now() - ageMilliseconds;
    this.#confirmAttempts(endpoint, ({ sentAt }) => sentAt <= detectedAt);
  }

  /**
   * Records that a process has just started. Another one that was reached at
   * its address before has ended, whatever id it had.
   */
  recordStart(record: EndpointRecord): void {
    const address = formatAddress(record);
    for (const [endpoint, [attempt]] of [...this.#lostAttempts]) {
      if (endpoint === record.id || attempt?.address === address) {
        this.confirmCrash(endpoint);
      }
    }
  }

  /** Lists the crashes and sound parts that other VMs need to know of. */
  listReports(): { crashes: CrashReport[]; soundParts: SoundPart[] } {
    this.#settleResponses();
    return {
      crashes: this.#parts.listReports(),
      soundParts: this.#parts.listSoundParts(),
    };
  }

  /** Merges the observations of another VM; its crashes are confirmed. */
  mergeReports(
    crashes: readonly CrashReport[],
    soundParts: readonly SoundPart[],
  ): void {
    this.#parts.merge(crashes, soundParts);
    for (const { endpoint, startedAtUnixMilliseconds } of crashes) {
      // A report is repeated for long after the endpoint's next start.
      this.#confirmAttempts(
        endpoint,
        (attempt) =>
          attempt.startedAtUnixMilliseconds <= startedAtUnixMilliseconds,
      );
    }
  }

  /** Records a crash for some of the attempts that broke recently. */
  #confirmAttempts(
    endpoint: EndpointId,
    isAffected: (attempt: TrackedAttempt) => boolean,
  ): void {
    if (!this.#lostAttempts.has(endpoint)) {
      return;
    }
    const lostAttempts = (this.#lostAttempts.get(endpoint) ?? [])
      .filter((attempt) => this.#isRecent(attempt));
    const others = lostAttempts.filter((attempt) => !isAffected(attempt));
    this.#lostAttempts.delete(endpoint);
    if (others.length > 0) {
      this.#lostAttempts.set(endpoint, others);
    }
    this.#settleResponses();
    this.#confirmations++;
    for (const attempt of lostAttempts) {
      if (isAffected(attempt)) {
        this.#recordCrash(attempt);
      }
    }
  }

  /** Whether a crash may still be confirmed for an attempt that broke. */
  #isRecent({ lostAt }: TrackedAttempt): boolean {
    const earliest = this.#options.clock.now() -
      CRASH_CONFIRMATION_MILLISECONDS;
    return (lostAt ?? -Infinity) >= earliest;
  }

  #recordCrash(attempt: TrackedAttempt): void {
    const { suspects, logger } = this.#options;
    const { endpoint, startedAtUnixMilliseconds, fingerprint } = attempt;
    const crash = this.#buildCrashName(attempt);
    suspects.recordCrash(fingerprint, crash);
    logger.warn("request was running when its endpoint crashed", {
      endpoint,
      fingerprint,
      attempt: attempt.name,
      crash,
      sharedParts: attempt.sharedParts.join(" "),
      wasResponding: attempt.respondingAt !== undefined,
    });
    const isSuspect = attempt.sharedParts.length > 0 &&
      !isSound(attempt, attempt.lostAt ?? Infinity);
    if (isSuspect) {
      this.#parts.recordCrash({
        endpoint,
        startedAtUnixMilliseconds,
        at: attempt.lostAt ?? 0,
        parts: listSuspectParts(attempt),
      });
    }
  }

  /**
   * Identifies a crash in the whole fleet by the process that ended, so that it
   * counts once for a request, whoever has seen it. A process whose start time
   * is not known cannot be told from the next one under the same id; each
   * confirmation by this VM counts then.
   */
  #buildCrashName(
    { endpoint, startedAtUnixMilliseconds }: TrackedAttempt,
  ): string {
    return startedAtUnixMilliseconds === 0
      ? `${endpoint}@${this.#options.vm}.${this.#confirmations}`
      : `${endpoint}@${startedAtUnixMilliseconds}`;
  }

  /** Records the responses that have gone on for long enough. */
  #settleResponses(): void {
    const now = this.#options.clock.now();
    for (;;) {
      const [attempt] = this.#respondingAttempts;
      const isSettled = attempt !== undefined &&
        (attempt.lostAt !== undefined || isSound(attempt, now));
      if (!isSettled) {
        return;
      }
      this.#respondingAttempts.shift();
      if (isSound(attempt, attempt.lostAt ?? now)) {
        this.#parts.recordResponse(
          attempt.sharedParts,
          attempt.respondingAt ?? now,
        );
      }
    }
  }
}

/** Whether an attempt's response had gone on for long enough at a time. */
function isSound({ respondingAt }: TrackedAttempt, at: number): boolean {
  return respondingAt !== undefined &&
    at - respondingAt >= SOUND_RESPONSE_MILLISECONDS;
}

function formatAddress({ host, port }: EndpointRecord): string {
  return `${host}:${port}`;
}

function listSuspectParts(attempt: TrackedAttempt): SuspectPart[] {
  return attempt.sharedParts.map((part, depth) => ({
    part,
    depth,
    sentAt: attempt.sentAt,
  }));
}

/** The last part of a prompt belongs to its request alone. */
function listSharedParts({ identity, service }: SchedulableCall): string[] {
  const parts = identity.prompt?.parts.slice(0, -1) ?? [];
  return parts.filter(({ id }) => id.length <= MAX_PART_LENGTH)
    .map(({ id }) => `${service} ${id}`);
}
