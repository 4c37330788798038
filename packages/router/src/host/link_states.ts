/** Remembers which peers cannot be reached at the moment. */

import type { Clock } from "@rattanvane/base";
import type { PeerNetwork, VmId } from "@rattanvane/protocol";

/** How long the failure of a link speaks against its VM. */
const FAILURE_MILLISECONDS = 2_000;

/** Follows the links of a router. */
export class LinkStates {
  readonly #clock: Clock;
  readonly #failedAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Follows the links until the signal aborts; tells of each reconnect. */
  follow(
    network: PeerNetwork,
    options: { reconnected: (vm: VmId) => void },
    signal: AbortSignal,
  ): void {
    network.linkChanges.listen(({ vm, connected }) => {
      if (!connected) {
        this.#failedAt.set(vm, this.#clock.now());
        return;
      }
      this.#failedAt.delete(vm);
      options.reconnected(vm);
    }, signal);
  }

  /**
   * Whether the link to a VM was lost a short while ago and has not come back.
   * A link is dialled only for a message, so an old failure says nothing any
   * more: whoever waited for the link to come back would wait for ever.
   */
  isDisconnected(vm: VmId): boolean {
    const failedAt = this.#failedAt.get(vm);
    return failedAt !== undefined &&
      this.#clock.now() - failedAt < FAILURE_MILLISECONDS;
  }
}
