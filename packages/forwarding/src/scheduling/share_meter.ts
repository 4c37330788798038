/** Tracks which organisations exceed their max-min fair share of engines. */

import type { Clock } from "@rattanvane/base";
import type {
  OrganisationId,
  OrganisationUse,
  VmId,
} from "@rattanvane/protocol";
import { SlidingSum } from "./sliding_window.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** A peer's report expires after this time unless a newer one arrives. */
const PEER_REPORT_LIFETIME_MILLISECONDS = 1_000;
const LEVEL_REFRESH_MILLISECONDS = 50;
/**
 * The window as a fraction of the period; shorter than the period, so that an
 * organisation's share is spread evenly over it.
 */
const WINDOW_FRACTION = 0.5;

/** Below this fraction of its share, an organisation is served first. */
const LOW_USAGE_FRACTION = 0.5;
/** An organisation granted this fraction of its demand counts as satisfied. */
const SATISFIED_FRACTION = 0.8;
/**
 * Spare capacity may favour an organisation by this factor over an even
 * division of what is granted, so that one whose demand alone is not met can
 * still be granted more.
 */
const OVER_SHARE_TOLERANCE = 1.2;

/** An organisation's use relative to its fair share, lowest first. */
export enum ShareUsage {
  Low,
  Within,
  /** The organisation may only use spare capacity. */
  Over,
  /** The organisation was granted more than an even division of all grants. */
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

/** What a VM knows of the shares, in cost units per window. */
export interface ShareDescription {
  /** Whether some organisation was granted much less than it asked for. */
  isContended: boolean;
  /** The fair share of each organisation; infinite without contention. */
  level: number;
  capacity: number;
  asked: number;
  granted: number;
  /** The number of peers whose reports are counted. */
  reports: number;
  oldestReportMilliseconds: number;
  /** The uses in the fleet and at this VM, the largest demand first. */
  uses: DescribedUse[];
}

/** An organisation's use in the fleet and at this VM. */
export interface DescribedUse extends OrganisationUse {
  usage: string;
  localAsked: number;
  localGranted: number;
}

/** Dependencies and settings of the meter. */
export interface ShareMeterOptions {
  clock: Clock;
  /** The period over which shares are balanced. */
  periodMilliseconds: number;
}

/**
 * Sums what each organisation asked for and was granted in the latest half of a
 * period, at this VM and its peers, and computes the max-min fair level: the
 * cost that each organisation is entitled to in that window.
 */
export class ShareMeter {
  readonly #options: ShareMeterOptions;
  readonly #windowMilliseconds: number;
  readonly #local = new Map<OrganisationId, LocalUse>();
  readonly #peers = new Map<VmId, PeerUse>();
  #fleet = new Map<OrganisationId, FleetUse>();
  #level = Infinity;
  /** The max-min fair level of what engines did, not of what is configured. */
  #spareLevel = Infinity;
  #computedAt = -Infinity;
  #costPerSecond = 0;

  constructor(options: ShareMeterOptions) {
    this.#options = options;
    this.#windowMilliseconds = options.periodMilliseconds * WINDOW_FRACTION;
  }

  /** Updates the cost units per second of all engines; 0 when unknown. */
  updateCapacity(costPerSecond: number): void {
    this.#costPerSecond = costPerSecond;
  }

  /** Records the cost units of a request that arrived at this VM. */
  recordAsked(organisation: OrganisationId, cost: number): void {
    this.#findLocalUse(organisation).asked.add(cost);
  }

  /** Records the cost units of a request that was sent to an endpoint. */
  recordGranted(organisation: OrganisationId, cost: number): void {
    this.#findLocalUse(organisation).granted.add(cost);
    const fleet = this.#fleet.get(organisation);
    if (fleet !== undefined) {
      fleet.granted += cost;
    }
  }

  /** Replaces a peer's report of the uses in its latest window. */
  mergePeer(vm: VmId, uses: readonly OrganisationUse[]): void {
    const receivedAt = this.#options.clock.now();
    this.#peers.set(vm, { receivedAt, uses });
  }

  /** Lists the uses at this VM in the latest window. */
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

  /** Computes an organisation's use of its fair share in the latest window. */
  computeShareUsage(organisation: OrganisationId): ShareUsage {
    this.#refresh();
    const granted = this.#fleet.get(organisation)?.granted ?? 0;
    if (granted < this.#level * LOW_USAGE_FRACTION) {
      return ShareUsage.Low;
    }
    if (granted < this.#level) {
      return ShareUsage.Within;
    }
    return granted <= this.#spareLevel * OVER_SHARE_TOLERANCE
      ? ShareUsage.Over
      : ShareUsage.FarOver;
  }

  /**
   * Computes the cost units a second that an organisation may expect to be
   * granted at this VM: its max-min share of what engines do, in proportion to
   * what it asked for here.
   */
  computeLocalRate(organisation: OrganisationId): number {
    this.#refresh();
    const fleet = this.#fleet.get(organisation);
    if (fleet === undefined || fleet.asked === 0) {
      return 0;
    }
    const local = this.#local.get(organisation)?.asked.sum ?? 0;
    const share = Math.min(fleet.asked, this.#spareLevel);
    return share * Math.min(1, local / fleet.asked) *
      MILLISECONDS_PER_SECOND / this.#windowMilliseconds;
  }

  /**
   * The fair share of each organisation in cost units per window; infinite if
   * there is enough capacity or the capacity is unknown.
   */
  get level(): number {
    this.#refresh();
    return this.#level;
  }

  /** Describes the current state for logs. */
  describe(): ShareDescription {
    this.#refresh();
    const now = this.#options.clock.now();
    const uses = [...this.#fleet].map(([organisation, use]) =>
      this.#describeUse(organisation, use)
    ).sort((first, second) => second.asked - first.asked);
    const ages = [...this.#peers.values()].map(({ receivedAt }) =>
      now - receivedAt
    );
    return {
      isContended: uses.some(({ asked, granted }) =>
        granted < asked * SATISFIED_FRACTION
      ),
      level: this.#level,
      capacity: Math.round(this.#computeCapacity()),
      asked: uses.reduce((sum, { asked }) => sum + asked, 0),
      granted: uses.reduce((sum, { granted }) => sum + granted, 0),
      reports: ages.length,
      oldestReportMilliseconds: Math.round(Math.max(0, ...ages)),
      uses,
    };
  }

  #describeUse(
    organisation: OrganisationId,
    { asked, granted }: FleetUse,
  ): DescribedUse {
    const local = this.#local.get(organisation);
    return {
      organisation,
      asked,
      granted,
      localAsked: Math.round(local?.asked.sum ?? 0),
      localGranted: Math.round(local?.granted.sum ?? 0),
      usage: ShareUsage[this.computeShareUsage(organisation)],
    };
  }

  #findLocalUse(organisation: OrganisationId): LocalUse {
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
    this.#fleet = this.#sumFleetUse(now);
    const uses = [...this.#fleet.values()];
    const asked = uses.map((use) => use.asked);
    const granted = uses.reduce((sum, use) => sum + use.granted, 0);
    const capacity = this.#computeCapacity();
    this.#level = this.#costPerSecond === 0
      ? Infinity
      : computeShareLevel(asked, capacity);
    this.#spareLevel = computeShareLevel(asked, Math.max(granted, capacity));
  }

  #computeCapacity(): number {
    return this.#costPerSecond * this.#windowMilliseconds /
      MILLISECONDS_PER_SECOND;
  }

  #sumFleetUse(now: number): Map<OrganisationId, FleetUse> {
    const fleet = new Map<OrganisationId, FleetUse>();
    addUses(fleet, this.listLocal());
    for (const [vm, { receivedAt, uses }] of this.#peers) {
      if (now - receivedAt > PEER_REPORT_LIFETIME_MILLISECONDS) {
        this.#peers.delete(vm);
      } else {
        addUses(fleet, uses);
      }
    }
    return fleet;
  }
}

/**
 * Computes the max-min fair level by water-filling: granting each organisation
 * the lesser of its demand and the level uses up the capacity exactly. Infinite
 * if the capacity covers all demands.
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
