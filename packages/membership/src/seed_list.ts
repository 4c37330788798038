/** VMs that may exist and are looked for until they answer. */

import type { VmContact, VmId, ZoneId } from "@rattanvane/protocol";

/** Bounds what a lagging list or a peer can make a VM look for. */
const MAXIMUM_SEEDS_PER_ZONE = 128;

interface Seed {
  contact: VmContact;
  /** Undefined for a seed that is never dropped. */
  expiresAt: number | undefined;
}

/** Holds contacts that are only hints; none of them counts as live. */
export class SeedList {
  readonly #seeds = new Map<VmId, Seed>();
  readonly #self: VmId;

  constructor(self: VmId) {
    this.#self = self;
  }

  /** Adds a seed that is never dropped. */
  addPermanent(contact: VmContact): void {
    if (contact.vm !== this.#self) {
      this.#seeds.set(contact.vm, { contact, expiresAt: undefined });
    }
  }

  /** Adds a seed, or keeps it for longer. */
  add(contact: VmContact, expiresAt: number): void {
    const known = this.#seeds.get(contact.vm);
    if (contact.vm === this.#self) {
      return;
    }
    if (known !== undefined && known.expiresAt === undefined) {
      return;
    }
    if (known === undefined && this.#isFull(contact.zone)) {
      return;
    }
    this.#seeds.set(contact.vm, { contact, expiresAt });
  }

  /** Finds a seed's contact. */
  find(vm: VmId): VmContact | undefined {
    return this.#seeds.get(vm)?.contact;
  }

  /** Lists the seeds, and drops those that have expired. */
  list(now: number): VmContact[] {
    for (const [vm, seed] of this.#seeds) {
      if (seed.expiresAt !== undefined && seed.expiresAt <= now) {
        this.#seeds.delete(vm);
      }
    }
    return [...this.#seeds.values()].map((seed) => seed.contact);
  }

  #isFull(zone: ZoneId): boolean {
    let count = 0;
    for (const seed of this.#seeds.values()) {
      if (seed.contact.zone === zone) {
        count++;
      }
    }
    return count >= MAXIMUM_SEEDS_PER_ZONE;
  }
}
