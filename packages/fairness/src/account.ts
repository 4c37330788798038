/** What a fair queue keeps of one organisation. */

import type { OrganisationId } from "@rattanvane/protocol";
import { LinkedQueue } from "./linked_queue.ts";

/** What the queue has to know of an entry. */
export interface FairEntry {
  request: string;
  organisation: OrganisationId;
  /** When it began to wait, in clock time; orders an organisation's entries. */
  waitingSince: number;
}

/** One organisation's counter and waiting entries. */
export class Account<Entry extends FairEntry> {
  readonly organisation: OrganisationId;
  /** Tells accounts with equal counters apart, the older first. */
  readonly order: number;
  readonly waiting = new LinkedQueue<Entry>(compareEntries);
  /** Since when nothing waits, in clock time; before that, it did. */
  emptySince = -Infinity;
  /** Service received divided by the weight, plus lifts. */
  virtual = 0;
  /** Service given here since the queue was created, in cost units. */
  service = 0;

  constructor(organisation: OrganisationId, order: number) {
    this.organisation = organisation;
    this.order = order;
  }
}

/** Orders accounts by their counters. */
export function compareAccounts<Entry extends FairEntry>(
  first: Account<Entry>,
  second: Account<Entry>,
): number {
  return first.virtual - second.virtual || first.order - second.order;
}

function compareEntries(first: FairEntry, second: FairEntry): number {
  return first.waitingSince - second.waitingSince;
}
