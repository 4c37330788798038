/** Selects the waiting entries to move to another pool. */

import { type Charge, PickVerdict } from "@rattanvane/fairness";
import type { QueueEntry } from "@rattanvane/protocol";
import type { WaitingEntry } from "./pool_queue.ts";
import type { PoolState } from "./pool_state.ts";
import type { SuspectGuard } from "./suspect_guard.ts";

/** Options of a selection. */
export interface MoveSelectionOptions {
  guard: SuspectGuard;
  /** The most entries to select. */
  count: number;
}

/**
 * Removes entries from the queue and returns them, those with the lowest
 * counters first. Each is provisionally charged as if it were granted here, so
 * that a large move divides between organisations like the same number of
 * grants; the charges are reverted at the end.
 */
export function pickEntriesToMove(
  state: PoolState,
  options: MoveSelectionOptions,
): WaitingEntry[] {
  const { fair } = state.queue;
  const picked: WaitingEntry[] = [];
  const charges: Charge[] = [];
  while (picked.length < options.count) {
    const waiting = fair.pick(({ entry }) =>
      isMovable(entry, { state, guard: options.guard })
        ? PickVerdict.Take
        : PickVerdict.Skip
    );
    if (waiting === undefined) {
      break;
    }
    state.queue.remove(waiting.request);
    picked.push(waiting);
    const { organisation, entry } = waiting;
    const estimate = state.estimate(organisation, entry.hintedCost);
    charges.push(fair.charge(organisation, estimate));
  }
  for (const charge of charges) {
    fair.updateCharge(charge, 0);
  }
  return picked;
}

/**
 * Whether an entry may be moved: its ingress must be live here, so that it can
 * be notified of the move, and the guard must allow it.
 */
function isMovable(
  entry: QueueEntry,
  parts: { state: PoolState; guard: SuspectGuard },
): boolean {
  return parts.state.ingresses.has(entry.ingress) &&
    parts.guard.canMove(entry.fingerprint);
}
