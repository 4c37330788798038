/** Grants waiting entries as soon as slots are free. */

import { PickVerdict } from "@rattanvane/fairness";
import {
  type AttemptId,
  type GrantMessage,
  MessageKind,
  PlacementReason,
  RefusalReason,
} from "@rattanvane/protocol";
import { pickPlacement, type Placement } from "./placement.ts";
import type { WaitingEntry } from "./pool_queue.ts";
import type { PoolState } from "./pool_state.ts";
import type { Refuser } from "./refuser.ts";
import { type SuspectGuard, Suspicion } from "./suspect_guard.ts";

/** The most entries set aside that are examined in one pass. */
const SUSPECT_SCAN_LIMIT = 32;

/** A high radix keeps the start time in attempt ids short. */
const START_TIME_RADIX = 36;

/** Grants slots: fairness picks the entry, placement picks the endpoint. */
export class Granter {
  readonly #state: PoolState;
  readonly #refuser: Refuser;
  readonly #guard: SuspectGuard;
  /** Distinguishes attempt ids from those issued before a process restart. */
  readonly #startTime: string;
  #nextAttempt = 1;
  #pickedPlacement: Placement | undefined;
  #skippedSuspects: WaitingEntry[] = [];

  constructor(
    state: PoolState,
    parts: { refuser: Refuser; guard: SuspectGuard },
  ) {
    this.#state = state;
    this.#refuser = parts.refuser;
    this.#guard = parts.guard;
    const startedAt = Math.floor(state.options.clock.wallTime());
    this.#startTime = startedAt.toString(START_TIME_RADIX);
  }

  /** Grants until the queue is empty or no endpoint has a free slot. */
  grantAll(): void {
    this.#grantSuspects();
    const { queue, endpoints } = this.#state;
    while (queue.fair.size > 0 && endpoints.hasFreeSlots()) {
      const waiting = queue.fair.pick((candidate) =>
        this.#judgeCandidate(candidate)
      );
      const isChanged = this.#setAsideSuspects();
      if (waiting !== undefined) {
        this.#grant(waiting, this.#pickedPlacement as Placement);
      } else if (!isChanged) {
        return;
      }
    }
  }

  /** Starts suspects that can run alone, and reassesses others set aside. */
  #grantSuspects(): void {
    let waitingSuspects = 0;
    for (const waiting of this.#state.queue.listDeferred(SUSPECT_SCAN_LIMIT)) {
      waitingSuspects += this.#handleSuspect(waiting) ? 1 : 0;
    }
    this.#guard.updateReservations(waitingSuspects);
  }

  /** Returns whether the entry still waits for an otherwise idle endpoint. */
  #handleSuspect(waiting: WaitingEntry): boolean {
    const { queue, endpoints } = this.#state;
    const { entry, request } = waiting;
    switch (this.#guard.judge(entry.fingerprint)) {
      case Suspicion.Quarantined:
        queue.remove(request);
        this.#refuser.refuse(entry, RefusalReason.Quarantined);
        return false;
      case Suspicion.Held:
        queue.defer(request);
        return false;
      case Suspicion.None:
        queue.resume(request);
        return false;
      case Suspicion.Suspect:
        break;
    }
    if (endpoints.sumSlots() === 0) {
      // Nothing can run here, but an entry in the fair queue may be moved.
      queue.resume(request);
      return false;
    }
    const placement = this.#guard.pickPlacement(entry);
    if (placement !== undefined) {
      this.#grant(waiting, placement);
    }
    return placement === undefined;
  }

  #judgeCandidate(waiting: WaitingEntry): PickVerdict {
    const { entry } = waiting;
    if (this.#guard.judge(entry.fingerprint) !== Suspicion.None) {
      this.#skippedSuspects.push(waiting);
      return PickVerdict.Skip;
    }
    this.#pickedPlacement = pickPlacement(this.#state, entry);
    if (this.#pickedPlacement !== undefined) {
      return PickVerdict.Take;
    }
    return entry.avoid.length > 0 ? PickVerdict.Skip : PickVerdict.Stop;
  }

  /** Sets aside entries that need an idle endpoint; returns whether any did. */
  #setAsideSuspects(): boolean {
    const skipped = this.#skippedSuspects;
    this.#skippedSuspects = [];
    for (const waiting of skipped) {
      this.#state.queue.defer(waiting.request);
    }
    if (skipped.length > 0) {
      this.#grantSuspects();
    }
    return skipped.length > 0;
  }

  #grant(waiting: WaitingEntry, placement: Placement): void {
    const { entry } = waiting;
    const { endpoint, reason } = placement;
    const { pool, term, sender } = this.#state.options;
    this.#state.queue.remove(entry.request);
    const attempt = this.#createAttemptId();
    const message: GrantMessage = {
      kind: MessageKind.Grant,
      pool,
      term,
      request: entry.request,
      attempt,
      endpoint: endpoint.name,
      chargedCost: this.#state.estimate(entry.organisation, entry.hintedCost),
      reason,
    };
    this.#recordGrant(waiting, message);
    if (reason === PlacementReason.SuspectAlone) {
      endpoint.exclusiveAttempt = attempt;
    }
    sender.send(entry.ingress, message);
    this.#reportGrant(waiting, message);
  }

  #recordGrant(waiting: WaitingEntry, message: GrantMessage): void {
    const state = this.#state;
    const { entry } = waiting;
    const { organisation } = entry;
    state.endpoints.find(message.endpoint)?.limit.startAttempt(message.attempt);
    state.prefixes.add(message.endpoint, entry.prefix);
    state.attempts.add({
      attempt: message.attempt,
      request: entry.request,
      ingress: entry.ingress,
      endpoint: message.endpoint,
      fingerprint: entry.fingerprint,
      charge: state.queue.fair.charge(organisation, message.chargedCost),
      grantedAt: state.now,
      attemptsMade: entry.attemptsMade,
      message,
      lastReportAt: state.now,
      reportedCost: 0,
      waiting,
    });
  }

  #createAttemptId(): AttemptId {
    const { self, pool } = this.#state.options;
    const number = this.#nextAttempt++;
    return `${pool.service}.${self}.${this.#startTime}.${number}`;
  }

  #reportGrant(waiting: WaitingEntry, message: GrantMessage): void {
    const { logger, observer } = this.#state.options;
    const waitedMilliseconds = this.#state.now - waiting.waitingSince;
    const { pool, reason } = message;
    observer?.recordGrant(pool, { reason, waitedMilliseconds });
    logger.info("granted an attempt", {
      request: message.request,
      attempt: message.attempt,
      organisation: waiting.organisation,
      service: pool.service,
      zone: pool.zone,
      endpoint: message.endpoint,
      reason,
      waitedMilliseconds,
    });
  }
}
