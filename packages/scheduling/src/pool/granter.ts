/** Grants waiting entries as soon as there is room. */

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

/** How many of the entries that are set aside are looked at in one go. */
const ASIDE_LOOK_AHEAD = 32;

/** Keeps the time of the start short in attempt ids. */
const START_RADIX = 36;

/** Matches entries to endpoints: fairness chooses who, placement where. */
export class Granter {
  readonly #state: PoolState;
  readonly #refuser: Refuser;
  readonly #guard: SuspectGuard;
  /** Keeps attempts apart from those before a restart of the process. */
  readonly #startedAt: string;
  #nextAttempt = 1;
  #placement: Placement | undefined;
  #outOfTurn: WaitingEntry[] = [];

  constructor(
    state: PoolState,
    parts: { refuser: Refuser; guard: SuspectGuard },
  ) {
    this.#state = state;
    this.#refuser = parts.refuser;
    this.#guard = parts.guard;
    const startedAt = Math.floor(state.options.clock.wallTime());
    this.#startedAt = startedAt.toString(START_RADIX);
  }

  /** Grants until nothing waits or nothing has room. */
  grantAll(): void {
    this.#grantAside();
    const { queue, endpoints } = this.#state;
    while (queue.fair.size > 0 && endpoints.hasRoom()) {
      const waiting = queue.fair.pick((candidate) => this.#judge(candidate));
      const isChanged = this.#handleOutOfTurn();
      if (waiting !== undefined) {
        this.#grant(waiting, this.#placement as Placement);
      } else if (!isChanged) {
        return;
      }
    }
  }

  /** Runs suspects alone, and finds out what became of the others. */
  #grantAside(): void {
    let waitingSuspects = 0;
    for (const waiting of this.#state.queue.listAside(ASIDE_LOOK_AHEAD)) {
      waitingSuspects += this.#handleAside(waiting) ? 1 : 0;
    }
    this.#guard.updateWards(waitingSuspects);
  }

  /** Returns whether the entry still waits for an endpoint of its own. */
  #handleAside(waiting: WaitingEntry): boolean {
    const { queue, endpoints } = this.#state;
    const { entry, request } = waiting;
    switch (this.#guard.judge(entry.fingerprint)) {
      case Suspicion.Quarantined:
        queue.remove(request);
        this.#refuser.refuse(entry, RefusalReason.Quarantined);
        return false;
      case Suspicion.Held:
        queue.setAside(request);
        return false;
      case Suspicion.None:
        queue.returnToTurn(request);
        return false;
      case Suspicion.Suspect:
        break;
    }
    if (endpoints.sumSlots() === 0) {
      // Nothing runs here, but it may be moved in its turn.
      queue.returnToTurn(request);
      return false;
    }
    const placement = this.#guard.pickPlacement(entry);
    if (placement !== undefined) {
      this.#grant(waiting, placement);
    }
    return placement === undefined;
  }

  #judge(waiting: WaitingEntry): PickVerdict {
    const { entry } = waiting;
    if (this.#guard.judge(entry.fingerprint) !== Suspicion.None) {
      this.#outOfTurn.push(waiting);
      return PickVerdict.Skip;
    }
    this.#placement = pickPlacement(this.#state, entry);
    if (this.#placement !== undefined) {
      return PickVerdict.Take;
    }
    return entry.avoid.length > 0 ? PickVerdict.Skip : PickVerdict.Stop;
  }

  /** Sets aside what must not run beside others; returns whether any was. */
  #handleOutOfTurn(): boolean {
    const found = this.#outOfTurn;
    this.#outOfTurn = [];
    for (const waiting of found) {
      this.#state.queue.setAside(waiting.request);
    }
    if (found.length > 0) {
      this.#grantAside();
    }
    return found.length > 0;
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
      endpoint.soleAttempt = attempt;
    }
    sender.send(entry.ingress, message);
    this.#tellGrant(waiting, message);
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
      lastNewsAt: state.now,
      reportedCost: 0,
      waiting,
    });
  }

  #createAttemptId(): AttemptId {
    const { self, pool } = this.#state.options;
    const number = this.#nextAttempt++;
    return `${pool.service}.${self}.${this.#startedAt}.${number}`;
  }

  #tellGrant(waiting: WaitingEntry, message: GrantMessage): void {
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
