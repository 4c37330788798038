/** Messages of failure detection and gossip. */

import type { PoolId, Term, VmContact, VmId } from "./identifiers.ts";
import type { MessageKind } from "./message_kind.ts";

/** The liveness state of a VM, as seen by the failure detector. */
export enum VmState {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** A state change of one VM. */
export interface VmUpdate {
  contact: VmContact;
  state: VmState;
  /** Incremented each time the VM refutes a suspicion or restarts. */
  incarnation: number;
}

/** A request body that was running when endpoints crashed. */
export interface SuspectFingerprint {
  fingerprint: string;
  /** Attempts that were running at a crash; used to count each only once. */
  crashedAttempts: string[];
  /** Time since the last observed crash, in milliseconds. */
  ageMilliseconds: number;
}

/** A term that a VM has acquired for a pool. */
export interface PoolTerm {
  pool: PoolId;
  term: Term;
  /** Address of the term's holder, reachable from other zones as well. */
  contact: VmContact;
}

/** Membership updates piggybacked on probes and their replies. */
export interface Gossip {
  updates: VmUpdate[];
  suspects: SuspectFingerprint[];
  terms: PoolTerm[];
  /** The sender's configuration version; 0 when it has none. */
  configurationVersion: number;
}

/** Checks whether a VM is alive. */
export interface ProbeMessage {
  kind: MessageKind.Probe;
  sequence: number;
  from: VmContact;
  gossip: Gossip;
}

/** Acknowledges a probe. */
export interface ProbeReplyMessage {
  kind: MessageKind.ProbeReply;
  sequence: number;
  from: VmId;
  gossip: Gossip;
}

/** Requests that a third VM probe one that did not reply. */
export interface IndirectProbeMessage {
  kind: MessageKind.IndirectProbe;
  sequence: number;
  from: VmContact;
  target: VmContact;
}

/** Notifies the requester that the target replied to the third VM. */
export interface IndirectProbeReplyMessage {
  kind: MessageKind.IndirectProbeReply;
  sequence: number;
  target: VmId;
}
