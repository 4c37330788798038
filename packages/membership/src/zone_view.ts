/** Read-only view of membership for the rest of the router. */

import type { Emitter } from "@rattanvane/base";
import type { VmContact, VmId, ZoneId } from "@rattanvane/protocol";

/** The kind of a change in the state of a VM, as this VM knows it. */
export enum MembershipChangeKind {
  /** The VM is live or suspected and was unknown, dead or leaving before. */
  Joined = "joined",
  Suspected = "suspected",
  /** The VM refuted a suspicion. */
  Recovered = "recovered",
  /**
   * The VM is still live but has a higher incarnation; it may have restarted.
   */
  Renewed = "renewed",
  /** The VM announced that it is leaving; it still answers. */
  Left = "left",
  Died = "died",
}

/** A change in the known state of a VM. */
export interface MembershipChange {
  kind: MembershipChangeKind;
  contact: VmContact;
  incarnation: number;
}

/** Provides the VMs that failure detection regards as live. */
export abstract class ZoneView {
  /**
   * Emits changes of the VMs in this VM's zone and of the contacts in other
   * zones.
   */
  abstract readonly changes: Emitter<MembershipChange>;

  /**
   * Lists a zone's live and suspected VMs, in no particular order. The list of
   * this VM's zone is complete and includes this VM unless it is leaving; of
   * other zones, only the contacts are known.
   */
  abstract listLive(zone: ZoneId): VmContact[];

  /**
   * Lists a zone's VMs that may still hold requests, in no particular order:
   * live, suspected and leaving VMs.
   */
  abstract listAnswering(zone: ZoneId): VmContact[];

  /** Finds the addresses of a VM, regardless of its state. */
  abstract findContact(vm: VmId): VmContact | undefined;
}
