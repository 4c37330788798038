/** Attributes endpoint crashes to the requests that were running. */

import type { Clock, Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { EndpointId } from "@rattanvane/protocol";
import type { SchedulableCall } from "../model/call.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";

/** A crash must be confirmed within this time after the connection broke. */
const CRASH_CONFIRMATION_MILLISECONDS = 8_000;

/** One attempt at an endpoint. */
export interface TrackedAttempt {
  endpoint: EndpointId;
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
 * when the endpoint is then unreachable or has restarted.
 */
export class CrashTracker {
  readonly #options: CrashTrackerOptions;
  readonly #lostAttempts = new Map<EndpointId, TrackedAttempt[]>();
  #sequence = 0;

  constructor(options: CrashTrackerOptions) {
    this.#options = options;
  }

  /** Registers an attempt that is about to be sent. */
  registerAttempt(endpoint: EndpointId, call: SchedulableCall): TrackedAttempt {
    this.#sequence++;
    return {
      endpoint,
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
  }

  /** Records how an attempt ended. */
  recordOutcome(attempt: TrackedAttempt, outcome: OutcomeKind): void {
    const { clock, suspects } = this.#options;
    if (outcome === OutcomeKind.Answered) {
      suspects.recordCompletion(attempt.fingerprint);
      return;
    }
    if (outcome === OutcomeKind.NotSent) {
      this.confirmCrash(attempt.endpoint);
      return;
    }
    const isLost = outcome === OutcomeKind.Broken ||
      outcome === OutcomeKind.StreamBroken;
    if (isLost) {
      attempt.lostAt = clock.now();
      const lostAttempts = this.#lostAttempts.get(attempt.endpoint) ?? [];
      lostAttempts.push(attempt);
      this.#lostAttempts.set(attempt.endpoint, lostAttempts);
    }
  }

  /**
   * Records a crash for each attempt that broke recently at an endpoint. Call
   * it when the endpoint is unreachable or has restarted.
   */
  confirmCrash(endpoint: EndpointId): void {
    const lostAttempts = this.#lostAttempts.get(endpoint) ?? [];
    this.#lostAttempts.delete(endpoint);
    const earliest = this.#options.clock.now() -
      CRASH_CONFIRMATION_MILLISECONDS;
    for (const attempt of lostAttempts) {
      if ((attempt.lostAt ?? -Infinity) >= earliest) {
        this.#options.suspects.recordCrash(attempt.fingerprint, attempt.name);
        this.#options.logger.warn(
          "request was running when its endpoint crashed",
          {
            endpoint,
            fingerprint: attempt.fingerprint,
            attempt: attempt.name,
            sharedParts: attempt.sharedParts.join(" "),
            wasResponding: attempt.respondingAt !== undefined,
          },
        );
      }
    }
  }
}

/** The last part of a prompt belongs to its request alone. */
function listSharedParts({ identity }: SchedulableCall): string[] {
  return identity.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [];
}
