/** Remembers which VMs the membership holds dead. */

import { MembershipChangeKind, type ZoneView } from "@rattanvane/membership";
import type { VmId } from "@rattanvane/protocol";

/** Follows the deaths and returns of VMs. */
export class DeadVms {
  readonly #dead = new Set<VmId>();

  /** Follows the membership until the signal aborts. */
  follow(view: ZoneView, signal: AbortSignal): void {
    view.changes.listen(({ kind, contact }) => {
      if (kind === MembershipChangeKind.Died) {
        this.#dead.add(contact.vm);
      } else {
        this.#dead.delete(contact.vm);
      }
    }, signal);
  }

  /** False when in doubt: of other zones only a few VMs are watched. */
  isDead(vm: VmId): boolean {
    return this.#dead.has(vm);
  }
}
