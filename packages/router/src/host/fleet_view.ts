/** Locates pools and their schedulers from configuration and gossip. */

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

/** Sources of the view. */
export interface FleetViewOptions {
  self: VmContact;
  region: string;
  terms: TermRegistry;
  view: ZoneView;
  findConfiguration: () => FleetConfiguration | undefined;
  /** Whether the link to a VM failed and has not been re-established. */
  isDisconnected: (vm: VmId) => boolean;
}

/** Knows which pools exist and which VMs schedule them. */
export class FleetView extends SchedulerDirectory {
  readonly #options: FleetViewOptions;
  readonly #rendezvous = new Rendezvous();

  constructor(options: FleetViewOptions) {
    super();
    this.#options = options;
  }

  override choosePool(service: ServiceId): PoolId | undefined {
    const pools = this.#listOpenPools(service);
    const localPool = pools.find((pool) =>
      pool.zone === this.#options.self.zone
    );
    if (localPool !== undefined) {
      return localPool;
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

  /** Whether a VM is live; true when the membership can't tell. */
  isLive(vm: VmId): boolean {
    const { self, view } = this.#options;
    const contact = view.findContact(vm);
    // Only some VMs of other zones are known, so a missing one may be live.
    if (vm === self.vm || contact?.zone !== self.zone) {
      return true;
    }
    return view.listAnswering(self.zone).some((one) => one.vm === vm);
  }

  override isSuperseded(pool: PoolId, term: Term): boolean {
    const known = this.#options.terms.find(pool);
    return known !== undefined && compareTerms(term, known.term) < 0;
  }

  /** Returns the latest known term of a pool. */
  findTerm(pool: PoolId): Term | undefined {
    return this.#options.terms.find(pool)?.term;
  }

  /** Returns the peers of the scheduler of a pool that this VM owns. */
  findPeers(pool: PoolId): PoolPeers {
    // A VM that is leaving still has waiting and running requests.
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

  /** Lists the pools of zones that are not drained, local region first. */
  #listOpenPools(service: ServiceId): PoolId[] {
    const configuration = this.#options.findConfiguration();
    const open = this.#listPools(service).filter((pool) =>
      configuration?.zones.get(pool.zone)?.drained !== true
    );
    const isInRegion = (pool: PoolId) =>
      configuration?.zones.get(pool.zone)?.region === this.#options.region;
    return [
      ...open.filter(isInRegion),
      ...open.filter((pool) => !isInRegion(pool)),
    ];
  }
}
