/** Decides which VMs of a zone are schedulers. */

import {
  type Clock,
  Emitter,
  type Logger,
  RendezvousScores,
} from "@rattanvane/base";
import type { ZoneView } from "@rattanvane/membership";
import type { VmContact, VmId } from "@rattanvane/protocol";

/**
 * The number of schedulers in the fleet, approximately. Schedulers exchange
 * their state pairwise, so that the traffic grows with the square.
 */
const FLEET_SCHEDULERS = 10;
const MIN_SCHEDULERS_PER_ZONE = 2;
const RANKING_KEY = "scheduler";
/**
 * How long a VM has to be a scheduler before it spends fleet-wide limits. A
 * predecessor that lost the role has stopped by then.
 */
const SETTLING_MILLISECONDS = 1_500;
/** How long the largest size of the zone is remembered. */
const PEAK_MILLISECONDS = 60_000;
/** Schedulers beyond the regular number that may be active during a change. */
const SURPLUS_SCHEDULERS = 2;

/** Dependencies of {@link SchedulerRoles}. */
export interface SchedulerRolesOptions {
  self: VmContact;
  members: ZoneView;
  /** The number of zones in the fleet. */
  zones: number;
  clock: Clock;
  logger: Logger;
}

/**
 * Assigns the role of scheduler to the largest VMs of this VM's zone, by
 * processor capacity and then by rendezvous hashing. VMs with the same view of
 * the zone assign the same roles.
 */
export class SchedulerRoles {
  /** Emits when the schedulers of this VM's zone have changed. */
  readonly changes = new Emitter<void>();
  readonly #options: SchedulerRolesOptions;
  readonly #schedulersPerZone: number;
  readonly #scores = new RendezvousScores();
  #schedulers: VmContact[] = [];
  #isSelfScheduler = false;
  #assignedAt = -Infinity;
  /** The largest number of live VMs that the zone had lately. */
  #peak = { vms: 0, seenAt: -Infinity };

  constructor(options: SchedulerRolesOptions) {
    this.#options = options;
    this.#schedulersPerZone = computeSchedulersPerZone(options.zones);
    this.#update();
  }

  /** Follows the changes of the zone until the signal aborts. */
  start(signal: AbortSignal): void {
    this.#options.members.changes.listen(() => this.#update(), signal);
  }

  /** Assigns the roles again; call it when this VM begins to leave. */
  refresh(): void {
    this.#update();
  }

  /** The schedulers of this VM's zone, the highest rank first. */
  get schedulers(): readonly VmContact[] {
    return this.#schedulers;
  }

  /** Whether this VM is a scheduler. */
  get isScheduler(): boolean {
    return this.#isSelfScheduler;
  }

  /**
   * Whether this VM follows the store for its zone. Where all VMs of the zone
   * are schedulers, each follows it for itself.
   */
  get isFollower(): boolean {
    const isFirst = this.#schedulers[0]?.vm === this.#options.self.vm;
    return this.#isSelfScheduler &&
      (isFirst || this.zoneVms <= this.#schedulersPerZone);
  }

  /** The number of live VMs in this VM's zone. */
  get zoneVms(): number {
    const { members, self } = this.#options;
    return members.listLive(self.zone).length;
  }

  /**
   * The number of VMs among which limits of the whole fleet are divided;
   * infinite while this VM must not spend any part of them. In a fleet in which
   * all VMs are schedulers, each has its part. In a larger one, a VM that sees
   * only a few others may be cut off from the real schedulers of its zone.
   */
  computeLimitSharers(fleetVms: number): number {
    const { clock, zones } = this.#options;
    const isSettled = this.#isSelfScheduler &&
      clock.now() - this.#assignedAt >= SETTLING_MILLISECONDS;
    const regular = this.#schedulersPerZone * zones;
    if (!isSettled) {
      return Infinity;
    }
    if (fleetVms <= regular) {
      return fleetVms;
    }
    return this.#isMajority() ? regular + SURPLUS_SCHEDULERS : Infinity;
  }

  /** Whether this VM sees at least half of the VMs that its zone had lately. */
  #isMajority(): boolean {
    return this.zoneVms * 2 >= this.#peak.vms;
  }

  #updatePeak(vms: number): void {
    const now = this.#options.clock.now();
    if (vms >= this.#peak.vms || now - this.#peak.seenAt > PEAK_MILLISECONDS) {
      this.#peak = { vms, seenAt: now };
    }
  }

  #update(): void {
    const { members, self, clock } = this.#options;
    const ranked = this.#rank(members.listLive(self.zone));
    this.#updatePeak(ranked.length);
    const schedulers = ranked.slice(0, this.#schedulersPerZone);
    if (hasSameVms(schedulers, this.#schedulers)) {
      return;
    }
    this.#schedulers = schedulers;
    const isScheduler = schedulers.some(({ vm }) => vm === self.vm);
    if (isScheduler !== this.#isSelfScheduler) {
      this.#isSelfScheduler = isScheduler;
      this.#assignedAt = clock.now();
    }
    const names = schedulers.map(({ vm }) => vm).join(",");
    this.#options.logger.info("schedulers of this zone changed", {
      schedulers: names,
      isScheduler,
      zoneVms: ranked.length,
    });
    this.changes.emit();
  }

  #rank(vms: readonly VmContact[]): VmContact[] {
    return [...vms].sort((first, second) =>
      (second.capacity ?? 0) - (first.capacity ?? 0) ||
      this.#computeScore(second.vm) - this.#computeScore(first.vm)
    );
  }

  #computeScore(vm: VmId): number {
    return this.#scores.compute(RANKING_KEY, vm);
  }
}

/** Computes how many VMs of each zone are schedulers. */
export function computeSchedulersPerZone(zones: number): number {
  return Math.max(
    MIN_SCHEDULERS_PER_ZONE,
    Math.floor(FLEET_SCHEDULERS / Math.max(1, zones)),
  );
}

function hasSameVms(
  first: readonly VmContact[],
  second: readonly VmContact[],
): boolean {
  return first.length === second.length &&
    first.every(({ vm }, index) => vm === second[index]?.vm);
}
