/** Tracks which peers are currently unreachable. */

import type { Clock } from "@rattanvane/base";
import type { PeerNetwork, VmId } from "@rattanvane/protocol";

/** How long a VM counts as disconnected after its link failed. */
const FAILURE_RETENTION_MILLISECONDS = 2_000;

/** The connection states of the links to peers. */
export class LinkStates {
  readonly #clock: Clock;
  readonly #failedAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Tracks the links until the signal aborts. Calls `reconnected` whenever a
   * link is established.
   */
  startTracking(
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
   * Whether the link to a VM failed recently and has not been re-established.
   * Failures expire because a link is only dialled to send a message: a caller
   * that sends nothing until the link is back would otherwise wait forever.
   */
  isDisconnected(vm: VmId): boolean {
    const failedAt = this.#failedAt.get(vm);
    return failedAt !== undefined &&
      this.#clock.now() - failedAt < FAILURE_RETENTION_MILLISECONDS;
  }
}
