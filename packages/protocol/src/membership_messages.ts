/** Messages of failure detection and gossip. */

import type { PoolId, Term, VmContact, VmId } from "./identifiers.ts";
import type { MessageKind } from "./message_kind.ts";

/** What is believed of a VM. */
export enum VmState {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** One piece of news about a VM. */
export interface VmUpdate {
  contact: VmContact;
  state: VmState;
  /** Rises each time the VM refutes a suspicion or restarts. */
  incarnation: number;
}

/** A request body that was running when endpoints crashed. */
export interface SuspectFingerprint {
  fingerprint: string;
  /** The attempts that were running at a crash, so none counts twice. */
  crashedAttempts: string[];
  /** When the last crash was seen: how long ago, in milliseconds. */
  ageMilliseconds: number;
}

/** A term that some VM has taken for a pool. */
export interface PoolTerm {
  pool: PoolId;
  term: Term;
  /** How the term's holder is reached, also from another zone. */
  contact: VmContact;
}

/** News that rides on probes and their replies. */
export interface Gossip {
  updates: VmUpdate[];
  suspects: SuspectFingerprint[];
  terms: PoolTerm[];
  /** The sender's configuration version; 0 when it has none. */
  configurationVersion: number;
}

/** Asks a VM whether it is alive. */
export interface ProbeMessage {
  kind: MessageKind.Probe;
  sequence: number;
  from: VmContact;
  gossip: Gossip;
}

/** Answers a probe. */
export interface ProbeReplyMessage {
  kind: MessageKind.ProbeReply;
  sequence: number;
  from: VmId;
  gossip: Gossip;
}

/** Asks a third VM to probe one that did not answer. */
export interface IndirectProbeMessage {
  kind: MessageKind.IndirectProbe;
  sequence: number;
  from: VmContact;
  target: VmContact;
}

/** Tells the asker that the target answered the third VM. */
export interface IndirectProbeReplyMessage {
  kind: MessageKind.IndirectProbeReply;
  sequence: number;
  target: VmId;
}
