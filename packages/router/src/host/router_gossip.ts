/** Connects gossip to the components whose state it carries. */

import type {
  ConfigurationPeer,
  ConfigurationStore,
} from "@rattanvane/configuration";
import type { SuspectRegistry } from "@rattanvane/limits";
import { GossipExchange, type LocalGossip } from "@rattanvane/membership";
import type { PoolTerm, SuspectFingerprint, VmId } from "@rattanvane/protocol";
import type { TermRegistry } from "@rattanvane/scheduling";

/** The components whose state is gossiped. */
export interface RouterGossipOptions {
  store: ConfigurationStore;
  peer: ConfigurationPeer;
  suspects: SuspectRegistry;
  terms: TermRegistry;
}

/** Collects the state that probes carry and applies the state received. */
export class RouterGossip extends GossipExchange {
  readonly #options: RouterGossipOptions;

  constructor(options: RouterGossipOptions) {
    super();
    this.#options = options;
  }

  override collectLocal(): LocalGossip {
    const { store, suspects } = this.#options;
    return {
      configurationVersion: store.current.version,
      suspects: suspects.listSuspects(),
    };
  }

  override receiveVersion(from: VmId, version: number): void {
    this.#options.peer.receiveVersion(from, version);
  }

  override receiveSuspects(
    _from: VmId,
    suspects: readonly SuspectFingerprint[],
  ): void {
    this.#options.suspects.merge(suspects);
  }

  override receiveTerm(_from: VmId, term: PoolTerm): boolean {
    return this.#options.terms.record(term);
  }

  override listTerms(): readonly PoolTerm[] {
    return this.#options.terms.list();
  }
}
