/** Selects the VM that is probed next. */

import type { Clock, RandomSource } from "@rattanvane/base";
import {
  type VmContact,
  type VmId,
  VmState,
  type ZoneId,
} from "@rattanvane/protocol";
import { ProbeOrder } from "./probe_order.ts";
import type { SeedList } from "./seed_list.ts";
import type { MembershipSettings } from "./settings.ts";
import {
  isAnswering,
  isAvailable,
  type VmRecord,
  type VmTable,
} from "./vm_table.ts";

/**
 * A suspected VM is probed ahead of its turn when no update about it has
 * arrived for this multiple of the suspicion time.
 */
const OVERDUE_SUSPICION_FACTOR = 1.5;

/** Seeds in this VM's zone that are probed while no VM there is known. */
const SEEDS_IN_OWN_ZONE = 3;

/** Dependencies and settings of a {@link ProbeTargetSelector}. */
export interface ProbeTargetSelectorOptions {
  self: VmContact;
  table: VmTable;
  seeds: SeedList;
  clock: Clock;
  random: RandomSource;
  settings: MembershipSettings;
}

/**
 * Selects probe targets from this VM's zone, the contacts in other zones and
 * the missing VMs: those that are dead or have not answered yet.
 */
export class ProbeTargetSelector {
  readonly #options: ProbeTargetSelectorOptions;
  readonly #zoneOrder: ProbeOrder;
  readonly #contactOrder: ProbeOrder;
  readonly #missingOrder: ProbeOrder;

  constructor(options: ProbeTargetSelectorOptions) {
    this.#options = options;
    this.#zoneOrder = new ProbeOrder(options.random);
    this.#contactOrder = new ProbeOrder(options.random);
    this.#missingOrder = new ProbeOrder(options.random);
  }

  /** Returns the next VM of this VM's zone; an overdue suspect comes first. */
  nextInZone(): VmContact | undefined {
    const zone = this.#listAnswering();
    const overdue = zone.find((record) => this.#isOverdue(record));
    return overdue?.contact ?? pickNext(zone, this.#zoneOrder);
  }

  /** Returns a random VM of this VM's zone. */
  pickRandomInZone(): VmContact | undefined {
    return this.#options.random.pick(this.#listAnswering())?.contact;
  }

  /** Returns the next contact in another zone. */
  nextContact(): VmContact | undefined {
    const { table, self } = this.#options;
    const contacts = table.list().filter((record) =>
      record.contact.zone !== self.zone && isAnswering(record.state)
    );
    return pickNext(contacts, this.#contactOrder);
  }

  /** Returns the next missing VM, which may exist or may have restarted. */
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
      return !isAnswering(state) && this.isEligible(contact);
    });
    const vm = this.#missingOrder.next(missing.map((contact) => contact.vm));
    return vm === undefined ? undefined : known.get(vm);
  }

  /**
   * Picks seeds in the zones in which no VM is known to answer: several in this
   * VM's zone and one in each other zone.
   */
  pickSeedsOfUnknownZones(): VmContact[] {
    const { seeds, clock, random, self, table } = this.#options;
    const seedsByZone = new Map<ZoneId, VmContact[]>();
    for (const seed of random.shuffle(seeds.list(clock.now()))) {
      const zoneSeeds = seedsByZone.get(seed.zone) ?? [];
      zoneSeeds.push(seed);
      seedsByZone.set(seed.zone, zoneSeeds);
    }
    const picked: VmContact[] = [];
    for (const [zone, zoneSeeds] of seedsByZone) {
      const isKnown = table.listZone(zone).some(({ state }) =>
        isAnswering(state)
      );
      if (!isKnown) {
        const count = zone === self.zone ? SEEDS_IN_OWN_ZONE : 1;
        picked.push(...zoneSeeds.slice(0, count));
      }
    }
    return picked;
  }

  /**
   * Whether a VM may be added to the table: any VM of this VM's zone, and VMs
   * of another zone while fewer than `contactsPerZone` are available there.
   */
  isEligible(vm: VmContact): boolean {
    const { table, self, settings } = this.#options;
    if (vm.zone === self.zone) {
      return true;
    }
    const live = table.listZone(vm.zone).filter((record) =>
      isAvailable(record.state)
    );
    return live.length < settings.contactsPerZone;
  }

  #listAnswering(): VmRecord[] {
    const { table, self } = this.#options;
    return table.listZone(self.zone).filter((record) =>
      isAnswering(record.state)
    );
  }

  /**
   * Whether a suspicion has lasted longer than a refutation or a death should
   * take to arrive.
   */
  #isOverdue(record: VmRecord): boolean {
    const { clock, settings } = this.#options;
    const limit = settings.suspicionMilliseconds * OVERDUE_SUSPICION_FACTOR;
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
