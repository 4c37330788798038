/** Chooses the VMs that connections are passed on to. */

import type { Clock, RandomSource } from "@rattanvane/base";
import type { VmContact, VmId } from "@rattanvane/protocol";

/** A VM that could not be connected to gets no connections for this time. */
const FAILURE_MILLISECONDS = 2_000;
/** A VM that refused a request is saturated itself. */
const REFUSAL_MILLISECONDS = 300;
/**
 * A VM that accepts connections and answers none of them for this time may be
 * frozen; the kernel of such a VM still accepts.
 */
const SILENCE_MILLISECONDS = 1_500;

/** Dependencies of {@link RelayTargets}. */
export interface RelayTargetsOptions {
  clock: Clock;
  random: RandomSource;
  /** Lists the other live VMs of this VM's zone. */
  listPeers: () => readonly VmContact[];
  /**
   * Lists VMs of other zones, which are used while none of this zone is usable.
   * Unset to choose at random in this zone, whatever the VMs answer.
   */
  listOtherZones?: (() => readonly VmContact[]) | undefined;
}

/** The connections that are passed on to one VM. */
interface TargetUse {
  open: number;
  /** Connections without an answer yet. */
  unanswered: number;
  /** When the first of these was passed on, or the last answer came. */
  silentSince: number;
}

/**
 * Picks the less used of two random VMs. A VM that refuses, cannot be connected
 * to or is silent gets nothing for a while, so its zone counts as full when all
 * do.
 *
 * Load: one VM passes on hundreds of connections a second, while others of its
 * zone are as busy, or one of them has frozen.
 */
export class RelayTargets {
  readonly #options: RelayTargetsOptions;
  readonly #uses = new Map<VmId, TargetUse>();
  readonly #avoidedUntil = new Map<VmId, number>();

  constructor(options: RelayTargetsOptions) {
    this.#options = options;
  }

  /** Whether a connection can be passed on. */
  get isEmpty(): boolean {
    return this.#listUsable().length === 0;
  }

  /** Picks a VM; undefined if there is none. */
  pick(): VmContact | undefined {
    const { random, listOtherZones } = this.#options;
    const usable = this.#listUsable();
    const first = random.pick(usable);
    if (listOtherZones === undefined || usable.length < 2) {
      return first;
    }
    const second = random.pick(usable);
    return this.#computeUse(second) < this.#computeUse(first) ? second : first;
  }

  /** Records a connection that is passed on. */
  addConnection(vm: VmId): void {
    const use = this.#uses.get(vm);
    if (use === undefined) {
      const silentSince = this.#options.clock.now();
      this.#uses.set(vm, { open: 1, unanswered: 1, silentSince });
      return;
    }
    if (use.unanswered === 0) {
      use.silentSince = this.#options.clock.now();
    }
    use.open++;
    use.unanswered++;
  }

  /** Records the first bytes of an answer. */
  recordAnswer(vm: VmId, isRefused: boolean): void {
    const use = this.#uses.get(vm);
    if (use !== undefined) {
      use.unanswered--;
      use.silentSince = this.#options.clock.now();
    }
    if (isRefused && this.#options.listOtherZones !== undefined) {
      this.#avoid(vm, REFUSAL_MILLISECONDS);
    }
  }

  /** Records a VM that could not be connected to; whether it was used before. */
  recordFailure(vm: VmId): boolean {
    const wasUsed = !this.#isAvoided(vm);
    this.#avoid(vm, FAILURE_MILLISECONDS);
    return wasUsed;
  }

  /** Records the end of a connection. */
  removeConnection(vm: VmId, isAnswered: boolean): void {
    const use = this.#uses.get(vm);
    if (use === undefined) {
      return;
    }
    use.open--;
    use.unanswered -= isAnswered ? 0 : 1;
    if (use.open === 0) {
      this.#uses.delete(vm);
    }
  }

  #listUsable(): VmContact[] {
    const { listPeers, listOtherZones } = this.#options;
    const usable = listPeers().filter(({ vm }) => this.#isUsable(vm));
    if (usable.length > 0 || listOtherZones === undefined) {
      return usable;
    }
    return listOtherZones().filter(({ vm }) => this.#isUsable(vm));
  }

  #isUsable(vm: VmId): boolean {
    return !this.#isAvoided(vm) &&
      (this.#options.listOtherZones === undefined || !this.#isSilent(vm));
  }

  #isSilent(vm: VmId): boolean {
    const use = this.#uses.get(vm);
    return use !== undefined && use.unanswered > 0 &&
      this.#options.clock.now() - use.silentSince > SILENCE_MILLISECONDS;
  }

  #isAvoided(vm: VmId): boolean {
    return this.#options.clock.now() <
      (this.#avoidedUntil.get(vm) ?? -Infinity);
  }

  #avoid(vm: VmId, milliseconds: number): void {
    const now = this.#options.clock.now();
    for (const [avoided, endsAt] of this.#avoidedUntil) {
      if (endsAt <= now) {
        this.#avoidedUntil.delete(avoided);
      }
    }
    const endsAt = Math.max(
      this.#avoidedUntil.get(vm) ?? -Infinity,
      now + milliseconds,
    );
    this.#avoidedUntil.set(vm, endsAt);
  }

  /** Connections for each core of the VM; those of unknown size count as one. */
  #computeUse(contact: VmContact | undefined): number {
    if (contact === undefined) {
      return Infinity;
    }
    const { open = 0 } = this.#uses.get(contact.vm) ?? {};
    return open / (contact.capacity || 1);
  }
}
