/** Chooses the entries that another pool should serve. */

import { type Charge, PickVerdict } from "@rattanvane/fairness";
import type { QueueEntry } from "@rattanvane/protocol";
import type { WaitingEntry } from "./pool_queue.ts";
import type { PoolState } from "./pool_state.ts";
import type { SuspectGuard } from "./suspect_guard.ts";

/** How entries are chosen. */
export interface MoveSelectionOptions {
  guard: SuspectGuard;
  /** The most entries to choose. */
  count: number;
}

/**
 * Takes entries out of the queue, those of the lowest counters first. Each is
 * charged while the next is chosen, as if it were granted here, so that a large
 * move is shared out like the same number of grants.
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

/** Only an entry whose ingress can be told where it went. */
function isMovable(
  entry: QueueEntry,
  parts: { state: PoolState; guard: SuspectGuard },
): boolean {
  return parts.state.ingresses.has(entry.ingress) &&
    parts.guard.canMove(entry.fingerprint);
}
