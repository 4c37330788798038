/** Adds requests to a pool's queue and removes cancelled ones. */

import {
  type DeclineGrantMessage,
  type EnqueueMessage,
  type QueueEntry,
  RefusalReason,
} from "@rattanvane/protocol";
import type { AttemptLifecycle } from "./attempt_lifecycle.ts";
import type { RunningGrant } from "./attempt_table.ts";
import type { EntryMover } from "./entry_mover.ts";
import type { PoolState } from "./pool_state.ts";
import type { Refuser } from "./refuser.ts";
import type { Siblings } from "./siblings.ts";
import { type SuspectGuard, Suspicion } from "./suspect_guard.ts";

/** Components that the intake depends on. */
export interface EntryIntakeParts {
  guard: SuspectGuard;
  refuser: Refuser;
  lifecycle: AttemptLifecycle;
  mover: EntryMover;
  siblings: Siblings;
}

/** Applies the ingresses' messages about waiting requests; idempotent. */
export class EntryIntake {
  readonly #state: PoolState;
  readonly #parts: EntryIntakeParts;

  constructor(state: PoolState, parts: EntryIntakeParts) {
    this.#state = state;
    this.#parts = parts;
  }

  /** Queues a request, refuses it, or resends the grant that it already has. */
  applyEnqueue({ entry }: EnqueueMessage): void {
    const running = this.#state.attempts.findByRequest(entry.request);
    if (running !== undefined && !this.#isSuperseded(running, entry)) {
      if (this.#parts.lifecycle.resendGrant(running)) {
        return;
      }
    } else if (running !== undefined) {
      this.#parts.lifecycle.release(running);
    }
    if (this.#state.queue.has(entry.request)) {
      return;
    }
    this.#parts.mover.remove(entry.request);
    const reason = this.#findRefusalReason(entry);
    if (reason !== undefined) {
      this.#parts.refuser.refuse(entry, reason);
      return;
    }
    this.#state.queue.add(entry, { now: this.#state.now });
  }

  /**
   * Whether the request was sent to an endpoint again after this grant, which
   * means that the finish message of this attempt was lost. Grants younger than
   * the settling time do not count, since they may result from an entry that
   * was already out of date.
   */
  #isSuperseded(running: RunningGrant, entry: QueueEntry): boolean {
    const { grantTransitMilliseconds } = this.#state.options.settings;
    const age = this.#state.now - running.grantedAt;
    return entry.attemptsMade > running.attemptsMade &&
      age >= grantTransitMilliseconds;
  }

  #findRefusalReason(entry: QueueEntry): RefusalReason | undefined {
    const { queue, configuration, endpoints, options } = this.#state;
    if (this.#parts.guard.judge(entry.fingerprint) === Suspicion.Quarantined) {
      return RefusalReason.Quarantined;
    }
    if (endpoints.size === 0 && this.#parts.siblings.size === 0) {
      return RefusalReason.NoEndpoint;
    }
    const organisation = configuration.organisations.get(entry.organisation);
    const limit = organisation?.queueLimit ?? options.settings.queueLimit;
    const isFull = queue.fair.countWaiting(entry.organisation) >= limit ||
      queue.size >= options.settings.queueLimit;
    return isFull ? RefusalReason.QueueFull : undefined;
  }

  /** Removes a waiting request, or releases the slot that was granted to it. */
  applyCancel(request: string): void {
    this.#state.queue.remove(request);
    this.#parts.mover.remove(request);
    const grant = this.#state.attempts.findByRequest(request);
    if (grant !== undefined) {
      this.#parts.lifecycle.release(grant);
    }
  }

  /** Releases the slot of a grant that the ingress did not use. */
  applyDecline(message: DeclineGrantMessage): void {
    const grant = this.#state.attempts.find(message.attempt);
    if (grant !== undefined) {
      this.#parts.lifecycle.release(grant);
    }
  }
}
