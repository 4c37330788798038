/** Contract of what the rest of the router sees of membership. */

import type { Emitter } from "@rattanvane/base";
import type { VmContact, VmId, ZoneId } from "@rattanvane/protocol";

/** What happened to a VM, as this VM believes. */
export enum MembershipChangeKind {
  /** It is live and was unknown, dead or leaving before. */
  Joined = "joined",
  Suspected = "suspected",
  /** It refuted a suspicion. */
  Recovered = "recovered",
  /** It is live as before, with a higher incarnation; it may have restarted. */
  Renewed = "renewed",
  /** It announced that it leaves; it still answers. */
  Left = "left",
  Died = "died",
}

/** A change of what is believed of a VM. */
export interface MembershipChange {
  kind: MembershipChangeKind;
  contact: VmContact;
  incarnation: number;
}

/** The VMs that are believed to be live. */
export abstract class ZoneView {
  /** Changes of the own zone's VMs and of the contacts in other zones. */
  abstract readonly changes: Emitter<MembershipChange>;

  /**
   * Lists a zone's live and suspected VMs, in no order. The own zone's list is
   * whole and holds this VM unless it leaves; of other zones only the contacts
   * are known.
   */
  abstract listLive(zone: ZoneId): VmContact[];

  /**
   * Lists a zone's VMs that may still hold requests, in no order: the live,
   * the suspected and those that leave.
   */
  abstract listAnswering(zone: ZoneId): VmContact[];

  /** Finds how a VM is reached, whatever its state. */
  abstract findContact(vm: VmId): VmContact | undefined;
}
