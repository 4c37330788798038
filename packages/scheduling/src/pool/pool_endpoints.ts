/** The endpoints of a pool and what may be sent to them. */

import type { Clock, RandomSource } from "@rattanvane/base";
import type { Endpoint, FleetConfiguration } from "@rattanvane/configuration";
import {
  EndpointLimit,
  type EndpointLimitSettings,
  EndpointState,
} from "@rattanvane/limits";
import type {
  AttemptId,
  EndpointId,
  EndpointLimitState,
  PoolId,
  VmId,
} from "@rattanvane/protocol";

/** One endpoint as the scheduler sees it. */
export interface PoolEndpoint {
  readonly name: EndpointId;
  readonly limit: EndpointLimit;
  /** Gets no new work: drained, removed, or its zone is drained. */
  closed: boolean;
  /** The configuration no longer has it; it goes when its work has ended. */
  removed: boolean;
  /** A former scheduler has told of everything that runs there. */
  isRunningKnown: boolean;
  /** The suspect that runs alone there. */
  soleAttempt: AttemptId | undefined;
  /** Kept free of ordinary attempts, so that suspects can run alone. */
  isWard: boolean;
}

/** What the endpoints of a pool are created with. */
export interface PoolEndpointsOptions {
  pool: PoolId;
  self: VmId;
  leased: boolean;
  clock: Clock;
  random: RandomSource;
  settings: EndpointLimitSettings;
  /** The longest wait for an endpoint's report after a start. */
  rebuildMilliseconds: number;
}

/** Follows the configuration and says how much room there is. */
export class PoolEndpoints {
  readonly #options: PoolEndpointsOptions;
  readonly #endpoints = new Map<EndpointId, PoolEndpoint>();
  readonly #startedAt: number;
  #leased: boolean;
  #rebuilding = true;

  constructor(options: PoolEndpointsOptions) {
    this.#options = options;
    this.#leased = options.leased;
    this.#startedAt = options.clock.now();
  }

  /** Notes whether the pool's lease is held. */
  updateLease(leased: boolean): void {
    this.#leased = leased;
    for (const { limit } of this.#endpoints.values()) {
      limit.updateLease(leased);
    }
  }

  /** Ends the time in which attempts may run that are not known yet. */
  stopRebuilding(): void {
    this.#rebuilding = false;
  }

  /** Takes in what a former scheduler, whose attempts are known, found out. */
  restore(limits: readonly EndpointLimitState[]): void {
    for (const state of limits) {
      const endpoint = this.#endpoints.get(state.endpoint);
      if (endpoint !== undefined) {
        endpoint.limit.restore(state);
        endpoint.isRunningKnown = state.foreign === 0;
      }
    }
  }

  /** Takes in a configuration; endpoints that are gone finish their work. */
  updateConfiguration(configuration: FleetConfiguration): void {
    const { pool } = this.#options;
    const zoneDrained = configuration.zones.get(pool.zone)?.drained ?? true;
    const listed = new Set<EndpointId>();
    for (const endpoint of configuration.endpoints.values()) {
      if (endpoint.zone === pool.zone && endpoint.service === pool.service) {
        listed.add(endpoint.name);
        this.#updateEndpoint(endpoint, zoneDrained);
      }
    }
    for (const endpoint of this.#endpoints.values()) {
      if (!listed.has(endpoint.name)) {
        endpoint.closed = true;
        endpoint.removed = true;
      }
    }
    this.removeExpired();
  }

  find(endpoint: EndpointId): PoolEndpoint | undefined {
    return this.#endpoints.get(endpoint);
  }

  list(): Iterable<PoolEndpoint> {
    return this.#endpoints.values();
  }

  get size(): number {
    return this.#endpoints.size;
  }

  /** How many ordinary attempts may start at an endpoint now. */
  computeFree(endpoint: PoolEndpoint): number {
    const { closed, soleAttempt, isWard } = endpoint;
    if (closed || isWard || soleAttempt !== undefined) {
      return 0;
    }
    return this.#computeRoom(endpoint);
  }

  /** Whether a suspect could run alone at an endpoint now. */
  canRunAlone(endpoint: PoolEndpoint): boolean {
    return !endpoint.closed && endpoint.limit.isIdle &&
      this.#computeRoom(endpoint) > 0;
  }

  /** How many ordinary attempts may start in the pool now. */
  sumFree(): number {
    let sum = 0;
    for (const endpoint of this.#endpoints.values()) {
      sum += this.computeFree(endpoint);
    }
    return sum;
  }

  /** Whether any ordinary attempt may start in the pool now. */
  hasRoom(): boolean {
    for (const endpoint of this.#endpoints.values()) {
      if (this.computeFree(endpoint) > 0) {
        return true;
      }
    }
    return false;
  }

  /** What the next scheduler should know of the endpoints. */
  listLimits(): EndpointLimitState[] {
    const limits: EndpointLimitState[] = [];
    for (const { limit } of this.#endpoints.values()) {
      limits.push(limit.describeState());
    }
    return limits;
  }

  /** What the endpoints that take work bear together. */
  sumSlots(): number {
    let sum = 0;
    for (const endpoint of this.#endpoints.values()) {
      const { closed, limit } = endpoint;
      const isUsable = !closed && limit.state !== EndpointState.Down;
      sum += isUsable ? limit.limit : 0;
    }
    return sum;
  }

  /** Whether attempts, or endpoints that are gone, wait for their end. */
  hasUnsettled(): boolean {
    for (const { limit, removed } of this.#endpoints.values()) {
      if (removed || limit.outstanding > 0) {
        return true;
      }
    }
    return false;
  }

  /** Drops counts that nothing has confirmed, and endpoints that are gone. */
  removeExpired(): void {
    for (const endpoint of this.#endpoints.values()) {
      endpoint.limit.removeExpired();
      if (endpoint.removed && endpoint.limit.outstanding === 0) {
        this.#endpoints.delete(endpoint.name);
      }
    }
  }

  #computeRoom(endpoint: PoolEndpoint): number {
    const { limit } = endpoint;
    if (this.#mayRunUnknown(endpoint)) {
      return 0;
    }
    return this.#rebuilding
      ? limit.computeFreeSlots(limit.coldLimit)
      : limit.freeSlots;
  }

  /**
   * After a start, attempts may run that nobody here knows: those of ingresses
   * that have not reported, and of other zones' ingresses, which are not asked.
   * Only a report taken since then shows them.
   */
  #mayRunUnknown({ limit, isRunningKnown }: PoolEndpoint): boolean {
    const { clock, settings, rebuildMilliseconds } = this.#options;
    const age = clock.now() - this.#startedAt;
    if (isRunningKnown || age >= rebuildMilliseconds) {
      return false;
    }
    const onTheWay = settings.reportSlackMilliseconds;
    return limit.sampledAt < this.#startedAt + onTheWay;
  }

  #updateEndpoint(endpoint: Endpoint, zoneDrained: boolean): void {
    const bounds = {
      coldLimit: endpoint.coldLimit,
      ceiling: endpoint.limitCeiling,
    };
    const known = this.#endpoints.get(endpoint.name);
    const closed = zoneDrained || endpoint.drained;
    if (known !== undefined) {
      known.closed = closed;
      known.removed = false;
      known.limit.updateBounds(bounds);
      return;
    }
    const limit = new EndpointLimit({
      ...this.#options,
      leased: this.#leased,
      ...bounds,
      endpoint: endpoint.name,
    });
    this.#endpoints.set(endpoint.name, {
      name: endpoint.name,
      limit,
      closed,
      removed: false,
      soleAttempt: undefined,
      isWard: false,
      isRunningKnown: false,
    });
  }
}
