/** Directory of the schedulers of all zones. */

import type { Clock } from "@rattanvane/base";
import type { ZoneView } from "@rattanvane/membership";
import type { VmContact, VmId, ZoneId } from "@rattanvane/protocol";
import type { SchedulerRoles } from "./scheduler_roles.ts";

/** A zone's schedulers are looked for again after this time without a report. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;
/** A VM that sent its state within this time gets this VM's state in return. */
const SENDER_LIFETIME_MILLISECONDS = 1_500;

interface ZoneReport {
  receivedAt: number;
  schedulers: readonly VmContact[];
  /** The number of live VMs in the zone. */
  vms: number;
}

/** Dependencies of {@link SchedulerDirectory}. */
export interface SchedulerDirectoryOptions {
  self: VmContact;
  roles: SchedulerRoles;
  members: ZoneView;
  /** The other zones of the fleet. */
  otherZones: readonly ZoneId[];
  clock: Clock;
}

/**
 * Knows the schedulers of this VM's zone from their roles, and those of other
 * zones from what they report about themselves.
 */
export class SchedulerDirectory {
  readonly #options: SchedulerDirectoryOptions;
  readonly #reports = new Map<ZoneId, ZoneReport>();
  readonly #senders = new Map<VmId, number>();

  constructor(options: SchedulerDirectoryOptions) {
    this.#options = options;
  }

  /** Records the schedulers that a VM of another zone named. */
  recordZone(
    zone: ZoneId,
    report: { schedulers: readonly VmContact[]; vms?: number },
  ): void {
    if (zone === this.#options.self.zone) {
      return;
    }
    const vms = report.vms ?? this.#reports.get(zone)?.vms ?? 0;
    const receivedAt = this.#options.clock.now();
    this.#reports.set(zone, {
      receivedAt,
      schedulers: report.schedulers,
      vms,
    });
  }

  /** Records that a scheduler sent its state. */
  recordSender(vm: VmId): void {
    this.#senders.set(vm, this.#options.clock.now());
  }

  /** Lists the schedulers of all zones, this VM excluded if it is one. */
  listSchedulers(): VmContact[] {
    const { roles, self } = this.#options;
    const schedulers = roles.schedulers.filter(({ vm }) => vm !== self.vm);
    for (const report of this.#reports.values()) {
      schedulers.push(...report.schedulers);
    }
    return schedulers;
  }

  /** Lists the schedulers of the other zones. */
  listOtherZones(): VmContact[] {
    return [...this.#reports.values()].flatMap(({ schedulers }) => schedulers);
  }

  /**
   * Lists the VMs to send this VM's state to: the known schedulers, recent
   * senders, and a contact in each zone whose schedulers are not known.
   */
  listPeers(): Set<VmId> {
    const { members, otherZones } = this.#options;
    const now = this.#options.clock.now();
    const peers = new Set(this.listSchedulers().map(({ vm }) => vm));
    for (const [vm, receivedAt] of this.#senders) {
      if (now - receivedAt > SENDER_LIFETIME_MILLISECONDS) {
        this.#senders.delete(vm);
      } else {
        peers.add(vm);
      }
    }
    for (const zone of otherZones) {
      const receivedAt = this.#reports.get(zone)?.receivedAt ?? -Infinity;
      if (now - receivedAt > REPORT_LIFETIME_MILLISECONDS) {
        for (const { vm } of members.listLive(zone)) {
          peers.add(vm);
        }
      }
    }
    return peers;
  }

  /** Sums up the live VMs of all zones, as far as they are known. */
  countVms(): number {
    let vms = this.#options.roles.zoneVms;
    for (const report of this.#reports.values()) {
      vms += report.vms;
    }
    return vms;
  }
}
