/** What this VM believes of the others. */

import {
  type VmContact,
  type VmId,
  VmState,
  type VmUpdate,
  type ZoneId,
} from "@rattanvane/protocol";
import { MembershipChangeKind } from "./zone_view.ts";

/** One VM as it is known here. */
export interface VmRecord {
  contact: VmContact;
  state: VmState;
  incarnation: number;
  /** When the state last changed, on the monotonic clock. */
  changedAt: number;
  /** The own incarnation that the last message to this VM told it. */
  toldIncarnation: number;
  /** The own incarnation that this VM has seen, as its replies prove. */
  confirmedIncarnation: number;
}

/** How strongly a state holds against another of the same incarnation. */
const STATE_RANKS: Record<VmState, number> = {
  [VmState.Live]: 0,
  [VmState.Suspect]: 1,
  [VmState.Leaving]: 2,
  [VmState.Dead]: 3,
};

/** Whether a VM in this state may be given work. */
export function isListed(state: VmState): boolean {
  return state === VmState.Live || state === VmState.Suspect;
}

/** Whether a VM in this state answers, as far as is known. */
export function isAnswering(state: VmState): boolean {
  return isListed(state) || state === VmState.Leaving;
}

/** Holds one record for each known VM other than this one. */
export class VmTable {
  readonly #records = new Map<VmId, VmRecord>();

  /** Finds a VM's record. */
  find(vm: VmId): VmRecord | undefined {
    return this.#records.get(vm);
  }

  /** Lists a zone's records. */
  listZone(zone: ZoneId): VmRecord[] {
    return this.list().filter((record) => record.contact.zone === zone);
  }

  /** Lists all records. */
  list(): VmRecord[] {
    return [...this.#records.values()];
  }

  /** Forgets VMs that died before this time. */
  removeDead(diedBefore: number): void {
    for (const [vm, record] of this.#records) {
      if (record.state === VmState.Dead && record.changedAt < diedBefore) {
        this.#records.delete(vm);
      }
    }
  }

  /** Takes an update that is newer than what is known; says what changed. */
  apply(update: VmUpdate, now: number): MembershipChangeKind | undefined {
    const known = this.#records.get(update.contact.vm);
    if (known === undefined) {
      this.#records.set(update.contact.vm, {
        ...update,
        changedAt: now,
        toldIncarnation: -1,
        confirmedIncarnation: -1,
      });
      return findChange(VmState.Dead, update.state);
    }
    if (!isNewer(update, known)) {
      return undefined;
    }
    const previous = known.state;
    known.contact = update.contact;
    known.state = update.state;
    known.incarnation = update.incarnation;
    known.changedAt = now;
    return findChange(previous, update.state);
  }
}

/** Whether an update says more than the record. */
function isNewer(update: VmUpdate, known: VmRecord): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATE_RANKS[update.state] > STATE_RANKS[known.state];
}

function findChange(
  previous: VmState,
  next: VmState,
): MembershipChangeKind | undefined {
  switch (next) {
    case VmState.Dead:
      return previous === next ? undefined : MembershipChangeKind.Died;
    case VmState.Leaving:
      return MembershipChangeKind.Left;
    case VmState.Suspect:
      return isListed(previous)
        ? MembershipChangeKind.Suspected
        : MembershipChangeKind.Joined;
    case VmState.Live:
      return findLiveChange(previous);
  }
}

function findLiveChange(previous: VmState): MembershipChangeKind {
  if (!isListed(previous)) {
    return MembershipChangeKind.Joined;
  }
  return previous === VmState.Suspect
    ? MembershipChangeKind.Recovered
    : MembershipChangeKind.Renewed;
}
