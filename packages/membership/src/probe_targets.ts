/** Chooses which VM is probed next. */

import type { Clock, RandomSource } from "@rattanvane/base";
import { type VmContact, type VmId, VmState } from "@rattanvane/protocol";
import { ProbeOrder } from "./probe_order.ts";
import type { SeedList } from "./seed_list.ts";
import type { MembershipSettings } from "./settings.ts";
import {
  isAnswering,
  isListed,
  type VmRecord,
  type VmTable,
} from "./vm_table.ts";

/** A suspect whose fate is not heard of in so many suspicions is probed. */
const OVERDUE_SUSPICIONS = 1.5;

/** What the choice is made from. */
export interface ProbeTargetsOptions {
  self: VmContact;
  table: VmTable;
  seeds: SeedList;
  clock: Clock;
  random: RandomSource;
  settings: MembershipSettings;
}

/** Goes round the zone, the contacts elsewhere and the missing VMs. */
export class ProbeTargets {
  readonly #options: ProbeTargetsOptions;
  readonly #zoneOrder: ProbeOrder;
  readonly #contactOrder: ProbeOrder;
  readonly #missingOrder: ProbeOrder;

  constructor(options: ProbeTargetsOptions) {
    this.#options = options;
    this.#zoneOrder = new ProbeOrder(options.random);
    this.#contactOrder = new ProbeOrder(options.random);
    this.#missingOrder = new ProbeOrder(options.random);
  }

  /** Picks a VM of the own zone in turn; an overdue suspect goes first. */
  nextInZone(): VmContact | undefined {
    const zone = this.#listAnswering();
    const overdue = zone.find((record) => this.#isOverdue(record));
    return overdue?.contact ?? pickNext(zone, this.#zoneOrder);
  }

  /** Picks any VM of the own zone. */
  pickInZone(): VmContact | undefined {
    return this.#options.random.pick(this.#listAnswering())?.contact;
  }

  /** Picks a contact in another zone in turn. */
  nextContact(): VmContact | undefined {
    const { table, self } = this.#options;
    const contacts = table.list().filter((record) =>
      record.contact.zone !== self.zone && isAnswering(record.state)
    );
    return pickNext(contacts, this.#contactOrder);
  }

  /** Picks a VM in turn that may exist, or may have come back. */
  nextMissing(): VmContact | undefined {
    const { table, seeds, clock } = this.#options;
    const known = new Map<VmId, VmContact>();
    for (const contact of seeds.list(clock.now())) {
      known.set(contact.vm, contact);
    }
    for (const record of table.list()) {
      known.set(record.contact.vm, record.contact);
    }
    const missing = [...known.values()].filter((contact) => {
      const state = table.find(contact.vm)?.state ?? VmState.Dead;
      return !isAnswering(state) && this.isWanted(contact);
    });
    const vm = this.#missingOrder.next(missing.map((contact) => contact.vm));
    return vm === undefined ? undefined : known.get(vm);
  }

  /** Whether a VM that made itself known is to be kept. */
  isWanted(vm: VmContact): boolean {
    const { table, self, settings } = this.#options;
    if (vm.zone === self.zone) {
      return true;
    }
    const live = table.listZone(vm.zone).filter((record) =>
      isListed(record.state)
    );
    return live.length < settings.contactsPerZone;
  }

  #listAnswering(): VmRecord[] {
    const { table, self } = this.#options;
    return table.listZone(self.zone).filter((record) =>
      isAnswering(record.state)
    );
  }

  /** Whether this VM should have heard of a suspect again by now. */
  #isOverdue(record: VmRecord): boolean {
    const { clock, settings } = this.#options;
    const limit = settings.suspicionMilliseconds * OVERDUE_SUSPICIONS;
    return record.state === VmState.Suspect &&
      clock.now() - record.changedAt >= limit;
  }
}

function pickNext(
  records: readonly VmRecord[],
  order: ProbeOrder,
): VmContact | undefined {
  const vm = order.next(records.map((record) => record.contact.vm));
  return records.find((record) => record.contact.vm === vm)?.contact;
}
