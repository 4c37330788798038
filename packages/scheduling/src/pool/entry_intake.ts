/** Takes requests into a pool's queue and out of it. */

import {
  type DeclineGrantMessage,
  type EnqueueMessage,
  type QueueEntry,
  RefusalReason,
} from "@rattanvane/protocol";
import type { AttemptEnds } from "./attempt_ends.ts";
import type { RunningGrant } from "./attempt_table.ts";
import type { EntryMover } from "./entry_mover.ts";
import type { PoolState } from "./pool_state.ts";
import type { Refuser } from "./refuser.ts";
import type { Siblings } from "./siblings.ts";
import { type SuspectGuard, Suspicion } from "./suspect_guard.ts";

/** The parts that the intake works with. */
export interface EntryIntakeParts {
  guard: SuspectGuard;
  refuser: Refuser;
  ends: AttemptEnds;
  mover: EntryMover;
  siblings: Siblings;
}

/** Applies what ingresses say of their waiting requests; idempotent. */
export class EntryIntake {
  readonly #state: PoolState;
  readonly #parts: EntryIntakeParts;

  constructor(state: PoolState, parts: EntryIntakeParts) {
    this.#state = state;
    this.#parts = parts;
  }

  /** Queues a request, refuses it, or repeats the grant that it has. */
  applyEnqueue({ entry }: EnqueueMessage): void {
    const running = this.#state.attempts.findByRequest(entry.request);
    if (running !== undefined && !this.#isOver(running, entry)) {
      if (this.#parts.ends.repeatGrant(running)) {
        return;
      }
    } else if (running !== undefined) {
      this.#parts.ends.release(running);
    }
    if (this.#state.queue.has(entry.request)) {
      return;
    }
    this.#parts.mover.remove(entry.request);
    const reason = this.#findRefusal(entry);
    if (reason !== undefined) {
      this.#parts.refuser.refuse(entry, reason);
      return;
    }
    this.#state.queue.add(entry, { now: this.#state.now });
  }

  /**
   * Whether the request has left again since, so that the end of this attempt
   * was lost. A young grant may come from an entry that was out of date.
   */
  #isOver(running: RunningGrant, entry: QueueEntry): boolean {
    const { grantSettleMilliseconds } = this.#state.options.settings;
    const age = this.#state.now - running.grantedAt;
    return entry.attemptsMade > running.attemptsMade &&
      age >= grantSettleMilliseconds;
  }

  #findRefusal(entry: QueueEntry): RefusalReason | undefined {
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

  /** Takes a request out, or frees its slot. */
  applyCancel(request: string): void {
    this.#state.queue.remove(request);
    this.#parts.mover.remove(request);
    const grant = this.#state.attempts.findByRequest(request);
    if (grant !== undefined) {
      this.#parts.ends.release(grant);
    }
  }

  /** Frees the slot of a grant that was not used. */
  applyDecline(message: DeclineGrantMessage): void {
    const grant = this.#state.attempts.find(message.attempt);
    if (grant !== undefined) {
      this.#parts.ends.release(grant);
    }
  }
}
