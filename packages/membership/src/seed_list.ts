/** Seeds: VMs that may exist and are probed until they answer. */

import type { VmContact, VmId, ZoneId } from "@rattanvane/protocol";

/**
 * Limits how many VMs a stale platform list or a peer can cause to be probed.
 */
const MAXIMUM_SEEDS_PER_ZONE = 128;

interface Seed {
  contact: VmContact;
  /**
   * Monotonic time in milliseconds; undefined for a seed that never expires.
   */
  expiresAt: number | undefined;
}

/**
 * Holds unverified contacts; a VM does not count as live because it is listed
 * here.
 */
export class SeedList {
  readonly #seeds = new Map<VmId, Seed>();
  readonly #self: VmId;

  constructor(self: VmId) {
    this.#self = self;
  }

  /** Adds a seed that never expires. */
  addPermanent(contact: VmContact): void {
    if (contact.vm !== this.#self) {
      this.#seeds.set(contact.vm, { contact, expiresAt: undefined });
    }
  }

  /**
   * Adds a seed or updates its expiry time. A permanent seed stays as it is,
   * and a new one is ignored when its zone has reached the limit.
   */
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

  /** Finds the contact of a seed. */
  find(vm: VmId): VmContact | undefined {
    return this.#seeds.get(vm)?.contact;
  }

  /** Removes expired seeds and lists the others. */
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
