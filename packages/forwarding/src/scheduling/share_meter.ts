/** Who asks for more than its max-min share of the engines. */

import type { Clock } from "@rattanvane/base";
import type {
  OrganisationId,
  OrganisationUse,
  VmId,
} from "@rattanvane/protocol";
import { SlidingSum } from "./sliding_window.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** What a silent peer said counts for so long. */
const PEER_EXPIRY_MILLISECONDS = 1_000;
const LEVEL_REFRESH_MILLISECONDS = 50;
/** The part of the period that is looked at, so that shares come evenly. */
const WINDOW_SHARE = 0.5;

/** Below this part of its share an organisation goes first. */
const LOW_SHARE = 0.5;
/** Who got this part of what it asked does not lack anything. */
const SATISFIED_SHARE = 0.8;
/** How far spare room may favour one of those over their share. */
const SPARE_SLACK = 1.2;

/** What an organisation has had, against its share; the neediest first. */
export enum ShareStanding {
  Low,
  Within,
  /** It may use what nobody else needs. */
  Over,
  /** Others that are over their share have had much less. */
  FarOver,
}

interface LocalUse {
  asked: SlidingSum;
  granted: SlidingSum;
}

interface PeerUse {
  receivedAt: number;
  uses: readonly OrganisationUse[];
}

interface FleetUse {
  asked: number;
  granted: number;
}

/** What the meter is created with. */
export interface ShareMeterOptions {
  clock: Clock;
  /** The time over which shares are even. */
  periodMilliseconds: number;
}

/**
 * Adds up what each organisation asked for and got in the newest half of a
 * period, here and at the peers, and finds the level above which asking is not
 * owed.
 */
export class ShareMeter {
  readonly #options: ShareMeterOptions;
  readonly #windowMilliseconds: number;
  readonly #local = new Map<OrganisationId, LocalUse>();
  readonly #peers = new Map<VmId, PeerUse>();
  #fleet = new Map<OrganisationId, FleetUse>();
  #level = Infinity;
  /** What the least served of those over the level has had. */
  #leastOver = Infinity;
  #computedAt = -Infinity;
  #costPerSecond = 0;

  constructor(options: ShareMeterOptions) {
    this.#options = options;
    this.#windowMilliseconds = options.periodMilliseconds * WINDOW_SHARE;
  }

  /** Takes in what all engines produce a second; 0 for unknown. */
  updateCapacity(costPerSecond: number): void {
    this.#costPerSecond = costPerSecond;
  }

  recordAsked(organisation: OrganisationId, cost: number): void {
    this.#findLocal(organisation).asked.add(cost);
  }

  recordGranted(organisation: OrganisationId, cost: number): void {
    this.#findLocal(organisation).granted.add(cost);
    const fleet = this.#fleet.get(organisation);
    if (fleet !== undefined) {
      fleet.granted += cost;
    }
  }

  /** Takes in a peer's uses of its own newest window. */
  mergePeer(vm: VmId, uses: readonly OrganisationUse[]): void {
    const receivedAt = this.#options.clock.now();
    this.#peers.set(vm, { receivedAt, uses });
  }

  /** The uses at this VM in the newest window. */
  listLocal(): OrganisationUse[] {
    const uses: OrganisationUse[] = [];
    for (const [organisation, { asked, granted }] of this.#local) {
      if (asked.sum > 0) {
        uses.push({
          organisation,
          asked: Math.round(asked.sum),
          granted: Math.round(granted.sum),
        });
      } else {
        this.#local.delete(organisation);
      }
    }
    return uses;
  }

  /** What an organisation has had of its share of the newest window. */
  judge(organisation: OrganisationId): ShareStanding {
    this.#refresh();
    const granted = this.#fleet.get(organisation)?.granted ?? 0;
    if (granted < this.#level * LOW_SHARE) {
      return ShareStanding.Low;
    }
    if (granted < this.#level) {
      return ShareStanding.Within;
    }
    return granted <= this.#leastOver * SPARE_SLACK
      ? ShareStanding.Over
      : ShareStanding.FarOver;
  }

  /** The cost units of a window above which nothing is owed. */
  get level(): number {
    this.#refresh();
    return this.#level;
  }

  #findLocal(organisation: OrganisationId): LocalUse {
    const known = this.#local.get(organisation);
    if (known !== undefined) {
      return known;
    }
    const { clock } = this.#options;
    const created = {
      asked: new SlidingSum(clock, this.#windowMilliseconds),
      granted: new SlidingSum(clock, this.#windowMilliseconds),
    };
    this.#local.set(organisation, created);
    return created;
  }

  #refresh(): void {
    const now = this.#options.clock.now();
    if (now - this.#computedAt < LEVEL_REFRESH_MILLISECONDS) {
      return;
    }
    this.#computedAt = now;
    this.#fleet = this.#sumFleet(now);
    this.#leastOver = Infinity;
    const asked = [...this.#fleet.values()].map((use) => use.asked);
    this.#level = this.#costPerSecond === 0
      ? Infinity
      : computeShareLevel(asked, this.#computeCapacity());
    for (const use of this.#fleet.values()) {
      const isShort = use.granted < use.asked * SATISFIED_SHARE;
      if (isShort && use.granted >= this.#level) {
        this.#leastOver = Math.min(this.#leastOver, use.granted);
      }
    }
  }

  #computeCapacity(): number {
    return this.#costPerSecond * this.#windowMilliseconds /
      MILLISECONDS_PER_SECOND;
  }

  #sumFleet(now: number): Map<OrganisationId, FleetUse> {
    const fleet = new Map<OrganisationId, FleetUse>();
    addUses(fleet, this.listLocal());
    for (const [vm, { receivedAt, uses }] of this.#peers) {
      if (now - receivedAt > PEER_EXPIRY_MILLISECONDS) {
        this.#peers.delete(vm);
      } else {
        addUses(fleet, uses);
      }
    }
    return fleet;
  }
}

/**
 * Finds the level at which everyone gets the lesser of what it asks and the
 * level, and all together get the capacity; infinite when there is enough.
 */
export function computeShareLevel(
  asked: readonly number[],
  capacity: number,
): number {
  const sorted = [...asked].sort((first, second) => first - second);
  let left = capacity;
  for (let index = 0; index < sorted.length; index++) {
    const share = left / (sorted.length - index);
    const next = sorted[index] as number;
    if (next > share) {
      return share;
    }
    left -= next;
  }
  return Infinity;
}

function addUses(
  fleet: Map<OrganisationId, FleetUse>,
  uses: readonly OrganisationUse[],
): void {
  for (const { organisation, asked, granted } of uses) {
    const sum = fleet.get(organisation) ?? { asked: 0, granted: 0 };
    sum.asked += asked;
    sum.granted += granted;
    fleet.set(organisation, sum);
  }
}
