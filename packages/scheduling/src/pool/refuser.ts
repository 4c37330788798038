/** Refuses requests, stating the reason and when to retry. */

import {
  MessageKind,
  type QueueEntry,
  RefusalReason,
} from "@rattanvane/protocol";
import type { PoolState } from "./pool_state.ts";

const MAX_RETRY_AFTER_MILLISECONDS = 60_000;

/** The weight of the newest interval in the moving average between finishes. */
const SMOOTHING_FACTOR = 0.1;

/** Sends refusals; derives the time to retry from the rate of finishes. */
export class Refuser {
  readonly #state: PoolState;
  #lastFinishAt: number | undefined;
  /** The moving average of the time between two finishes, in milliseconds. */
  #meanFinishInterval = 0;

  constructor(state: PoolState) {
    this.#state = state;
  }

  /** Updates the finish rate when an attempt has ended. */
  recordFinish(): void {
    const { now } = this.#state;
    if (this.#lastFinishAt !== undefined) {
      const interval = now - this.#lastFinishAt;
      this.#meanFinishInterval += SMOOTHING_FACTOR *
        (interval - this.#meanFinishInterval);
    }
    this.#lastFinishAt = now;
  }

  /** Refuses an entry, which must not be in the queue any more. */
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
    const drainMilliseconds = this.#state.queue.size * this.#meanFinishInterval;
    const boundedMilliseconds = Math.min(
      drainMilliseconds,
      MAX_RETRY_AFTER_MILLISECONDS,
    );
    return Math.max(
      settings.retryAfterMilliseconds,
      Math.round(boundedMilliseconds),
    );
  }
}
