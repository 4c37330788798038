/** The state that a fair queue keeps for each organisation. */

import type { OrganisationId } from "@rattanvane/protocol";
import { LinkedQueue } from "./linked_queue.ts";

/** The properties of an entry that the queue depends on. */
export interface FairEntry {
  request: string;
  organisation: OrganisationId;
  /** When the wait began, in clock time; orders an organisation's entries. */
  waitingSince: number;
}

/** One organisation's virtual counter and waiting entries. */
export class Account<Entry extends FairEntry> {
  readonly organisation: OrganisationId;
  /** Breaks ties between equal counters: the older account comes first. */
  readonly tieBreaker: number;
  readonly waiting = new LinkedQueue<Entry>(compareEntries);
  /** When the last waiting entry was removed, in clock time. */
  emptySince = -Infinity;
  /** Virtual counter: service received divided by the weight, plus lifts. */
  virtual = 0;
  /** Service given by this queue since its creation, in cost units. */
  service = 0;

  constructor(organisation: OrganisationId, tieBreaker: number) {
    this.organisation = organisation;
    this.tieBreaker = tieBreaker;
  }
}

/** Orders accounts by virtual counter, the lowest first. */
export function compareAccounts<Entry extends FairEntry>(
  first: Account<Entry>,
  second: Account<Entry>,
): number {
  return first.virtual - second.virtual ||
    first.tieBreaker - second.tieBreaker;
}

function compareEntries(first: FairEntry, second: FairEntry): number {
  return first.waitingSince - second.waitingSince;
}
