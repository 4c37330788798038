/** Remembers which peers cannot be reached at the moment. */

import type { PeerNetwork, VmId } from "@rattanvane/protocol";

/** Follows the links of a router. */
export class LinkStates {
  readonly #disconnected = new Set<VmId>();

  /** Follows the links until the signal aborts; tells of each reconnect. */
  follow(
    network: PeerNetwork,
    options: { reconnected: (vm: VmId) => void },
    signal: AbortSignal,
  ): void {
    network.linkChanges.listen(({ vm, connected }) => {
      if (!connected) {
        this.#disconnected.add(vm);
        return;
      }
      this.#disconnected.delete(vm);
      options.reconnected(vm);
    }, signal);
  }

  /** Whether the link to a VM was lost and has not come back. */
  isDisconnected(vm: VmId): boolean {
    return this.#disconnected.has(vm);
  }
}
