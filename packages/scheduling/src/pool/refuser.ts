/** Refuses entries with a true reason and a time to come back. */

import {
  MessageKind,
  type QueueEntry,
  RefusalReason,
} from "@rattanvane/protocol";
import type { PoolState } from "./pool_state.ts";

const LONGEST_RETRY_AFTER_MILLISECONDS = 60_000;

/** The share of the newest interval in the mean time between two ends. */
const LEARNING_RATE = 0.1;

/** Sends refusals; knows how fast the queue moves. */
export class Refuser {
  readonly #state: PoolState;
  #lastFinishAt: number | undefined;
  #finishInterval = 0;

  constructor(state: PoolState) {
    this.#state = state;
  }

  /** Takes in that an attempt has ended. */
  recordFinish(): void {
    const { now } = this.#state;
    if (this.#lastFinishAt !== undefined) {
      const interval = now - this.#lastFinishAt;
      this.#finishInterval += LEARNING_RATE * (interval - this.#finishInterval);
    }
    this.#lastFinishAt = now;
  }

  /** Refuses an entry that does not wait in the queue, or no longer. */
  refuse(entry: QueueEntry, reason: RefusalReason): void {
    const { pool, sender, logger, observer } = this.#state.options;
    const retryAfterMilliseconds = this.#computeRetryAfter(entry, reason);
    sender.send(entry.ingress, {
      kind: MessageKind.Refuse,
      pool,
      request: entry.request,
      reason,
      retryAfterMilliseconds,
    });
    observer?.recordRefusal(pool, reason);
    logger.info("refused a request", {
      request: entry.request,
      attempt: entry.attemptsMade,
      organisation: entry.organisation,
      service: pool.service,
      zone: pool.zone,
      reason,
      retryAfterMilliseconds,
    });
  }

  #computeRetryAfter(entry: QueueEntry, reason: RefusalReason): number {
    const { settings, suspects } = this.#state.options;
    if (reason === RefusalReason.Quarantined) {
      return suspects.computeRetryAfter(entry.fingerprint);
    }
    const drainTime = this.#state.queue.size * this.#finishInterval;
    const bounded = Math.min(drainTime, LONGEST_RETRY_AFTER_MILLISECONDS);
    return Math.max(settings.retryAfterMilliseconds, Math.round(bounded));
  }
}
