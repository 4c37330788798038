/** Contract of what gossip carries for other parts of the router. */

import type { PoolTerm, SuspectFingerprint, VmId } from "@rattanvane/protocol";

/** What this VM adds to every probe and reply. */
export interface LocalGossip {
  /** 0 while there is no configuration. */
  configurationVersion: number;
  suspects: readonly SuspectFingerprint[];
}

/** Gives and takes the news that membership only carries. */
export abstract class GossipExchange {
  /** Collects what the next message is to carry; called for each message. */
  abstract collectLocal(): LocalGossip;

  /** Hears that a peer has a higher configuration version. */
  abstract learnVersion(from: VmId, version: number): void;

  /** Hears of request bodies that were running when endpoints crashed. */
  abstract learnSuspects(
    from: VmId,
    suspects: readonly SuspectFingerprint[],
  ): void;

  /** Hears of a pool's term; true when it was news, to be passed on. */
  abstract learnTerm(from: VmId, term: PoolTerm): boolean;

  /** Lists the terms that a VM which has just joined should hear. */
  abstract listTerms(): readonly PoolTerm[];
}
