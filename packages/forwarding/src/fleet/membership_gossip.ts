/** The gossip that forwarding adds to that of membership: none. */

import { GossipExchange, type LocalGossip } from "@rattanvane/membership";

const NOTHING: LocalGossip = { configurationVersion: 0, suspects: [] };

/**
 * Tables and suspects travel with the state of schedulers, so that membership
 * carries only its own updates.
 */
export class MembershipGossip extends GossipExchange {
  override collectLocal(): LocalGossip {
    return NOTHING;
  }

  override receiveVersion(): void {
    // No version is ever sent.
  }

  override receiveSuspects(): void {
    // No suspects are ever sent.
  }

  override receiveTerm(): boolean {
    return false;
  }

  override listTerms(): readonly [] {
    return [];
  }
}
