/** Finds requests that were running when endpoints crashed. */

import type { Clock, Logger } from "@rattanvane/base";
import type { SuspectRegistry } from "@rattanvane/limits";
import type { EndpointId } from "@rattanvane/protocol";
import type { ForwardedCall } from "../model/call.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";

/** A crash is confirmed within this time after the connection broke. */
const CONFIRMATION_MILLISECONDS = 8_000;

/** An attempt that is watched. */
export interface WatchedAttempt {
  endpoint: EndpointId;
  fingerprint: string;
  name: string;
  lostAt: number | undefined;
}

/** What the watch works with. */
export interface CrashWatchOptions {
  clock: Clock;
  logger: Logger;
  suspects: SuspectRegistry;
  /** Makes the names of attempts unique among VMs. */
  vm: string;
}

/**
 * A broken connection alone is no crash: answers get lost. It counts as one
 * when the endpoint can't be reached afterwards or has started again.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #lost = new Map<EndpointId, WatchedAttempt[]>();
  #sequence = 0;

  constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Begins to watch an attempt. */
  watch(endpoint: EndpointId, call: ForwardedCall): WatchedAttempt {
    this.#sequence++;
    return {
      endpoint,
      fingerprint: call.fingerprint,
      name: `${this.#options.vm}.${this.#sequence}`,
      lostAt: undefined,
    };
  }

  /** Notes how an attempt ended. */
  settle(attempt: WatchedAttempt, outcome: OutcomeKind): void {
    const { clock, suspects } = this.#options;
    if (outcome === OutcomeKind.Answered) {
      suspects.recordCompletion(attempt.fingerprint);
      return;
    }
    if (outcome === OutcomeKind.NotSent) {
      this.confirm(attempt.endpoint);
      return;
    }
    const isLost = outcome === OutcomeKind.Broken ||
      outcome === OutcomeKind.StreamBroken;
    if (isLost) {
      attempt.lostAt = clock.now();
      const lost = this.#lost.get(attempt.endpoint) ?? [];
      lost.push(attempt);
      this.#lost.set(attempt.endpoint, lost);
    }
  }

  /** Notes that an endpoint is down or has started again. */
  confirm(endpoint: EndpointId): void {
    const lost = this.#lost.get(endpoint) ?? [];
    this.#lost.delete(endpoint);
    const oldest = this.#options.clock.now() - CONFIRMATION_MILLISECONDS;
    for (const attempt of lost) {
      if ((attempt.lostAt ?? -Infinity) >= oldest) {
        this.#options.suspects.recordCrash(attempt.fingerprint, attempt.name);
        this.#options.logger.warn("a request ran when its endpoint crashed", {
          endpoint,
          fingerprint: attempt.fingerprint,
          attempt: attempt.name,
        });
      }
    }
  }
}
