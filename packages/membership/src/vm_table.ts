/** Known states of the other VMs. */

import {
  type VmContact,
  type VmId,
  VmState,
  type VmUpdate,
  type ZoneId,
} from "@rattanvane/protocol";
import { MembershipChangeKind } from "./zone_view.ts";

/** The state of a VM as this VM knows it. */
export interface VmRecord {
  contact: VmContact;
  state: VmState;
  incarnation: number;
  /** Time of the last state change, in milliseconds of the monotonic clock. */
  changedAt: number;
  /** This VM's own incarnation as of the last message sent to that VM. */
  sentIncarnation: number;
  /**
   * This VM's own incarnation that the other VM has received, as its reply
   * confirms.
   */
  acknowledgedIncarnation: number;
}

/** Precedence of states with the same incarnation; the higher one prevails. */
const STATE_PRECEDENCE: Record<VmState, number> = {
  [VmState.Live]: 0,
  [VmState.Suspect]: 1,
  [VmState.Leaving]: 2,
  [VmState.Dead]: 3,
};

/** Whether a VM in this state may be assigned work. */
export function isAvailable(state: VmState): boolean {
  return state === VmState.Live || state === VmState.Suspect;
}

/** Whether a VM in this state is expected to answer. */
export function isAnswering(state: VmState): boolean {
  return isAvailable(state) || state === VmState.Leaving;
}

/** Table with one record for each known VM other than this one. */
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

  /** Removes VMs that were declared dead before this time. */
  removeDead(diedBefore: number): void {
    for (const [vm, record] of this.#records) {
      if (record.state === VmState.Dead && record.changedAt < diedBefore) {
        this.#records.delete(vm);
      }
    }
  }

  /**
   * Applies an update if it is newer than the known state. Returns the kind of
   * change, or undefined if there is none to report.
   */
  apply(update: VmUpdate, now: number): MembershipChangeKind | undefined {
    const known = this.#records.get(update.contact.vm);
    if (known === undefined) {
      this.#records.set(update.contact.vm, {
        ...update,
        changedAt: now,
        sentIncarnation: -1,
        acknowledgedIncarnation: -1,
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

/** Whether an update takes precedence over the known record. */
function isNewer(update: VmUpdate, known: VmRecord): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
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
      return isAvailable(previous)
        ? MembershipChangeKind.Suspected
        : MembershipChangeKind.Joined;
    case VmState.Live:
      return findLiveChange(previous);
  }
}

function findLiveChange(previous: VmState): MembershipChangeKind {
  if (!isAvailable(previous)) {
    return MembershipChangeKind.Joined;
  }
  return previous === VmState.Suspect
    ? MembershipChangeKind.Recovered
    : MembershipChangeKind.Renewed;
}
