/** Connects gossip with the parts whose news it carries. */

import type {
  ConfigurationPeer,
  ConfigurationStore,
} from "@rattanvane/configuration";
import type { SuspectRegistry } from "@rattanvane/limits";
import { GossipExchange, type LocalGossip } from "@rattanvane/membership";
import type { PoolTerm, SuspectFingerprint, VmId } from "@rattanvane/protocol";
import type { TermRegistry } from "@rattanvane/scheduling";

/** The parts that gossip serves. */
export interface RouterGossipOptions {
  store: ConfigurationStore;
  peer: ConfigurationPeer;
  suspects: SuspectRegistry;
  terms: TermRegistry;
}

/** Collects what probes carry and passes on what they brought. */
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
    this.#options.peer.learnVersion(from, version);
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
