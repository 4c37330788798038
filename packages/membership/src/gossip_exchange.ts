/**
 * Interface between membership gossip and the parts of the router whose data it
 * carries.
 */

import type { PoolTerm, SuspectFingerprint, VmId } from "@rattanvane/protocol";

/** Data that this VM attaches to every probe and reply. */
export interface LocalGossip {
  /** 0 while this VM has no configuration. */
  configurationVersion: number;
  suspects: readonly SuspectFingerprint[];
}

/**
 * Supplies and receives gossip that membership transports without interpreting
 * it: configuration versions, suspect requests and pool terms.
 */
export abstract class GossipExchange {
  /** Collects the data for the next message; called once for each message. */
  abstract collectLocal(): LocalGossip;

  /**
   * Handles a peer's configuration version that is higher than the local one.
   */
  abstract receiveVersion(from: VmId, version: number): void;

  /**
   * Handles fingerprints of request bodies that were running when endpoints
   * crashed.
   */
  abstract receiveSuspects(
    from: VmId,
    suspects: readonly SuspectFingerprint[],
  ): void;

  /**
   * Handles a pool's term; returns true when it was new and is to be
   * retransmitted.
   */
  abstract receiveTerm(from: VmId, term: PoolTerm): boolean;

  /** Lists the terms that are sent to a VM that has just joined. */
  abstract listTerms(): readonly PoolTerm[];
}
