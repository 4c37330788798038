/** Bounds how many VMs of a zone are out of the load balancer's rotation. */

import type { Clock } from "@rattanvane/base";
import type { VmId } from "@rattanvane/protocol";

/** A VM that does not ask again within this time has to be in rotation. */
export const LEASE_MILLISECONDS = 1_200;
/** One VM of this many may be out of rotation. */
const VMS_PER_LEASE = 8;

/** Dependencies of a {@link RotationAllowance}. */
export interface RotationAllowanceOptions {
  clock: Clock;
  /** Counts the live VMs of this VM's zone. */
  countZoneVms: () => number;
  /** Lists the schedulers of the zone that rank before this VM. */
  listHigherRanked: () => readonly VmId[];
}

interface PeerLeases {
  leases: number;
  receivedAt: number;
}

/**
 * Leases by which a scheduler lets VMs of its zone leave the rotation. The
 * schedulers of the zone tell each other how many leases they have granted, so
 * that the others of the zone can take the callers.
 *
 * Load: callers of an organisation who all reach one VM.
 */
export class RotationAllowance {
  readonly #options: RotationAllowanceOptions;
  /** When each VM's lease ends. */
  readonly #leases = new Map<VmId, number>();
  readonly #peers = new Map<VmId, PeerLeases>();

  constructor(options: RotationAllowanceOptions) {
    this.#options = options;
  }

  /** The number of VMs that hold a lease of this scheduler. */
  get leases(): number {
    const now = this.#options.clock.now();
    for (const [vm, endsAt] of this.#leases) {
      if (endsAt <= now) {
        this.#leases.delete(vm);
      }
    }
    return this.#leases.size;
  }

  /**
   * Grants or renews a VM's lease; false if too many others have one. Where
   * several schedulers granted leases at the same moment, those of the scheduler
   * with the highest rank are renewed.
   */
  renew(vm: VmId): boolean {
    const { clock, countZoneVms, listHigherRanked } = this.#options;
    const limit = Math.floor(countZoneVms() / VMS_PER_LEASE);
    const position = this.leases === 0
      ? -1
      : [...this.#leases.keys()].indexOf(vm);
    const mayHold = position < 0
      ? this.leases + this.#countPeerLeases() < limit
      : position + this.#countPeerLeases(new Set(listHigherRanked())) < limit;
    if (mayHold) {
      this.#leases.set(vm, clock.now() + LEASE_MILLISECONDS);
    } else {
      this.#leases.delete(vm);
    }
    return mayHold;
  }

  /** Ends a VM's lease. */
  remove(vm: VmId): void {
    this.#leases.delete(vm);
  }

  /** Records how many leases another scheduler of the zone has granted. */
  mergePeer(vm: VmId, leases: number): void {
    this.#peers.set(vm, { leases, receivedAt: this.#options.clock.now() });
  }

  /** Counts the leases of the given schedulers, or of all others. */
  #countPeerLeases(schedulers?: ReadonlySet<VmId>): number {
    const earliest = this.#options.clock.now() - LEASE_MILLISECONDS;
    let sum = 0;
    for (const [vm, { leases, receivedAt }] of this.#peers) {
      if (receivedAt < earliest) {
        this.#peers.delete(vm);
      } else if (schedulers?.has(vm) ?? true) {
        sum += leases;
      }
    }
    return sum;
  }
}
