/** Chooses the VM that should schedule each pool, as seen from this VM. */

import type { Clock } from "@rattanvane/base";
import { MembershipChangeKind, type ZoneView } from "@rattanvane/membership";
import type { PoolId, VmContact, VmId } from "@rattanvane/protocol";
import { Rendezvous } from "./rendezvous.ts";
import type { OwnershipSettings } from "./settings.ts";

/** What the choice is made from. */
export interface OwnerChoiceOptions {
  self: VmContact;
  zone: ZoneView;
  clock: Clock;
  settings: OwnershipSettings;
}

/**
 * Leaves out VMs that have only just joined: they may not be ready to take
 * over, and while they settle, their pools would have no scheduler.
 */
export class OwnerChoice {
  readonly #options: OwnerChoiceOptions;
  readonly #rendezvous = new Rendezvous();
  readonly #joinedAt = new Map<VmId, number>();
  readonly #startedAt: number;
  #changedAt: number;

  constructor(options: OwnerChoiceOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#changedAt = this.#startedAt;
  }

  /** Follows the zone's VMs until the signal aborts. */
  follow(signal: AbortSignal): void {
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

  /** Whether this VM has had the time to hear of the zone's VMs. */
  hasStarted(): boolean {
    const { clock, settings } = this.#options;
    return clock.now() - this.#startedAt >= settings.settleMilliseconds;
  }

  /** Whether the zone's VMs have been the same for a while. */
  isSettled(): boolean {
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

  /** Picks the VM that should schedule the pool once this VM has gone. */
  pickNext(pool: PoolId): VmContact | undefined {
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

  /** VMs that were there when this VM started count as ready. */
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
