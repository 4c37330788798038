/** Pools and their schedulers, as configuration and gossip show them. */

import type { FleetConfiguration } from "@rattanvane/configuration";
import type { ZoneView } from "@rattanvane/membership";
import {
  compareTerms,
  type PoolId,
  type ServiceId,
  type Term,
  type VmContact,
  type VmId,
} from "@rattanvane/protocol";
import {
  type PoolPeers,
  Rendezvous,
  type TermRegistry,
} from "@rattanvane/scheduling";
import { SchedulerDirectory } from "../ingress/scheduler_directory.ts";
import { listServicePools } from "./service_pools.ts";

/** What the view is made from. */
export interface FleetViewOptions {
  self: VmContact;
  region: string;
  terms: TermRegistry;
  view: ZoneView;
  findConfiguration: () => FleetConfiguration | undefined;
  /** Whether the link to a VM was lost and has not come back. */
  isDisconnected: (vm: VmId) => boolean;
}

/** Answers which pools there are and who schedules them. */
export class FleetView extends SchedulerDirectory {
  readonly #options: FleetViewOptions;
  readonly #rendezvous = new Rendezvous();

  constructor(options: FleetViewOptions) {
    super();
    this.#options = options;
  }

  override choosePool(service: ServiceId): PoolId | undefined {
    const pools = this.#listOpenPools(service);
    const own = pools.find((pool) => pool.zone === this.#options.self.zone);
    if (own !== undefined) {
      return own;
    }
    return pools.find((pool) => {
      const scheduler = this.findScheduler(pool);
      return scheduler !== undefined && this.isReachable(scheduler);
    }) ?? pools[0];
  }

  override findScheduler(pool: PoolId): VmId | undefined {
    const known = this.#options.terms.find(pool);
    if (known !== undefined) {
      return known.term.holder;
    }
    const live = this.#options.view.listLive(pool.zone);
    return this.#rendezvous.pick(pool, live)?.vm;
  }

  override isReachable(vm: VmId): boolean {
    const { self, isDisconnected } = this.#options;
    return vm === self.vm || (!isDisconnected(vm) && this.isLive(vm));
  }

  /** False for a VM that the membership holds dead; true when in doubt. */
  isLive(vm: VmId): boolean {
    const { self, view } = this.#options;
    const contact = view.findContact(vm);
    // Of other zones only some VMs are known, so silence there says nothing.
    if (vm === self.vm || contact?.zone !== self.zone) {
      return true;
    }
    return view.listAnswering(self.zone).some((one) => one.vm === vm);
  }

  override isSuperseded(pool: PoolId, term: Term): boolean {
    const known = this.#options.terms.find(pool);
    return known !== undefined && compareTerms(term, known.term) < 0;
  }

  /** The newest term that is known of a pool. */
  findTerm(pool: PoolId): Term | undefined {
    return this.#options.terms.find(pool)?.term;
  }

  /** The VMs that the scheduler of an own pool works with. */
  findPeers(pool: PoolId): PoolPeers {
    // A VM that leaves still has requests that wait and run.
    const ingresses = this.#options.view.listAnswering(pool.zone)
      .map((contact) => contact.vm);
    const siblings = this.#listPools(pool.service)
      .filter((other) => other.zone !== pool.zone)
      .flatMap((other) => {
        const vm = this.findScheduler(other);
        return vm === undefined ? [] : [{ pool: other, vm }];
      });
    return { ingresses, siblings };
  }

  #listPools(service: ServiceId): PoolId[] {
    return listServicePools(service, this.#options.findConfiguration());
  }

  /** Pools that take new work, those of the own region first. */
  #listOpenPools(service: ServiceId): PoolId[] {
    const configuration = this.#options.findConfiguration();
    const open = this.#listPools(service).filter((pool) =>
      configuration?.zones.get(pool.zone)?.drained !== true
    );
    const isNear = (pool: PoolId) =>
      configuration?.zones.get(pool.zone)?.region === this.#options.region;
    return [...open.filter(isNear), ...open.filter((pool) => !isNear(pool))];
  }
}
