/** Selection of the VM that should schedule each pool, as seen from this VM. */

import type { Clock } from "@rattanvane/base";
import { MembershipChangeKind, type ZoneView } from "@rattanvane/membership";
import type { PoolId, VmContact, VmId } from "@rattanvane/protocol";
import { Rendezvous } from "./rendezvous.ts";
import type { OwnershipSettings } from "./settings.ts";

/** Dependencies of `OwnerSelector`. */
export interface OwnerSelectorOptions {
  self: VmContact;
  zone: ZoneView;
  clock: Clock;
  settings: OwnershipSettings;
}

/**
 * Selects the owner of each pool among the zone's live VMs. VMs that have only
 * just joined are excluded: they may not be ready to take pools over, and their
 * pools would have no scheduler while they start.
 */
export class OwnerSelector {
  readonly #options: OwnerSelectorOptions;
  readonly #rendezvous = new Rendezvous();
  readonly #joinedAt = new Map<VmId, number>();
  readonly #startedAt: number;
  #changedAt: number;

  constructor(options: OwnerSelectorOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#changedAt = this.#startedAt;
  }

  /** Starts to track changes of the zone's VMs, until the signal aborts. */
  start(signal: AbortSignal): void {
    const { zone, self, clock } = this.#options;
    zone.changes.listen((change) => {
      if (change.contact.zone !== self.zone) {
        return;
      }
      switch (change.kind) {
        case MembershipChangeKind.Joined:
          this.#joinedAt.set(change.contact.vm, clock.now());
          this.#changedAt = clock.now();
          return;
        case MembershipChangeKind.Left:
        case MembershipChangeKind.Died:
          this.#joinedAt.delete(change.contact.vm);
          this.#changedAt = clock.now();
      }
    }, signal);
  }

  /** Whether this VM has had the time to discover the zone's VMs. */
  isDiscoveryComplete(): boolean {
    const { clock, settings } = this.#options;
    return clock.now() - this.#startedAt >= settings.settleMilliseconds;
  }

  /** Whether the zone's VMs have not changed during the settling time. */
  isStable(): boolean {
    const { clock, settings } = this.#options;
    return clock.now() - this.#changedAt >= settings.settleMilliseconds;
  }

  /** Whether a VM of the zone is live. */
  isLive(vm: VmId): boolean {
    return this.#listLive().some((contact) => contact.vm === vm);
  }

  /** Picks the VM that should schedule the pool. */
  pick(pool: PoolId): VmContact | undefined {
    return this.#pickFrom(pool, this.#listLive());
  }

  /** Picks the VM that should schedule the pool once this VM has left. */
  pickSuccessor(pool: PoolId): VmContact | undefined {
    const { self } = this.#options;
    return this.#pickFrom(
      pool,
      this.#listLive().filter((contact) => contact.vm !== self.vm),
    );
  }

  #pickFrom(
    pool: PoolId,
    live: readonly VmContact[],
  ): VmContact | undefined {
    const ready = live.filter((contact) => this.#isReady(contact.vm));
    return this.#rendezvous.pick(pool, ready.length > 0 ? ready : live);
  }

  /** VMs that were already live when this VM started count as ready. */
  #isReady(vm: VmId): boolean {
    const { clock, settings } = this.#options;
    const joinedAt = this.#joinedAt.get(vm);
    if (joinedAt === undefined) {
      return true;
    }
    return joinedAt - this.#startedAt <= settings.settleMilliseconds ||
      clock.now() - joinedAt >= settings.joinDelayMilliseconds;
  }

  #listLive(): VmContact[] {
    const { zone, self } = this.#options;
    return zone.listLive(self.zone);
  }
}
