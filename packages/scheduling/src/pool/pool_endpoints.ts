/** Endpoints of a pool and the number of attempts that each may receive. */

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

/** State of one endpoint as known to the scheduler. */
export interface PoolEndpoint {
  readonly name: EndpointId;
  readonly limit: EndpointLimit;
  /** Takes no new work: drained, removed, or in a drained zone. */
  closed: boolean;
  /** No longer configured; deleted once its outstanding work has ended. */
  removed: boolean;
  /** Whether a previous scheduler reported every attempt that runs there. */
  isHandoverComplete: boolean;
  /** The suspect's attempt that has the endpoint to itself, if any. */
  exclusiveAttempt: AttemptId | undefined;
  /** Whether ordinary attempts are kept off, so that suspects can run alone. */
  isReserved: boolean;
}

/** Options of the endpoints of a pool. */
export interface PoolEndpointsOptions {
  pool: PoolId;
  self: VmId;
  /** Whether the pool's lease is held. */
  leased: boolean;
  clock: Clock;
  random: RandomSource;
  settings: EndpointLimitSettings;
  /** The longest wait for an endpoint's load report after a start. */
  rebuildMilliseconds: number;
}

/** Tracks the configured endpoints and computes their free slots. */
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

  /** Updates whether the pool's lease is held. */
  updateLease(leased: boolean): void {
    this.#leased = leased;
    for (const { limit } of this.#endpoints.values()) {
      limit.updateLease(leased);
    }
  }

  /** Ends the rebuild phase, in which unknown attempts may be running. */
  stopRebuilding(): void {
    this.#rebuilding = false;
  }

  /** Restores limits from a previous scheduler whose attempts are known. */
  restore(limits: readonly EndpointLimitState[]): void {
    for (const state of limits) {
      const endpoint = this.#endpoints.get(state.endpoint);
      if (endpoint !== undefined) {
        endpoint.limit.restore(state);
        endpoint.isHandoverComplete = state.foreign === 0;
      }
    }
  }

  /** Applies a configuration; removed endpoints still finish their work. */
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

  /** Returns how many ordinary attempts may start at an endpoint now. */
  computeFreeSlots(endpoint: PoolEndpoint): number {
    const { closed, exclusiveAttempt, isReserved } = endpoint;
    if (closed || isReserved || exclusiveAttempt !== undefined) {
      return 0;
    }
    return this.#computeHeadroom(endpoint);
  }

  /** Whether a suspect could start alone at an endpoint now. */
  canRunAlone(endpoint: PoolEndpoint): boolean {
    return !endpoint.closed && endpoint.limit.isIdle &&
      this.#computeHeadroom(endpoint) > 0;
  }

  /** Returns how many ordinary attempts may start in the pool now. */
  sumFreeSlots(): number {
    let sum = 0;
    for (const endpoint of this.#endpoints.values()) {
      sum += this.computeFreeSlots(endpoint);
    }
    return sum;
  }

  /** Whether any ordinary attempt may start in the pool now. */
  hasFreeSlots(): boolean {
    for (const endpoint of this.#endpoints.values()) {
      if (this.computeFreeSlots(endpoint) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Lists the endpoints' limits in the form in which a handover sends them. */
  listLimits(): EndpointLimitState[] {
    const limits: EndpointLimitState[] = [];
    for (const { limit } of this.#endpoints.values()) {
      limits.push(limit.describeState());
    }
    return limits;
  }

  /** Sums the limits of the endpoints that take work and are not down. */
  sumSlots(): number {
    let sum = 0;
    for (const endpoint of this.#endpoints.values()) {
      const { closed, limit } = endpoint;
      const isUsable = !closed && limit.state !== EndpointState.Down;
      sum += isUsable ? limit.limit : 0;
    }
    return sum;
  }

  /** Whether attempts are outstanding or removed endpoints still exist. */
  hasUnsettled(): boolean {
    for (const { limit, removed } of this.#endpoints.values()) {
      if (removed || limit.outstanding > 0) {
        return true;
      }
    }
    return false;
  }

  /** Drops unconfirmed counts that have expired, and idle removed endpoints. */
  removeExpired(): void {
    for (const endpoint of this.#endpoints.values()) {
      endpoint.limit.removeExpired();
      if (endpoint.removed && endpoint.limit.outstanding === 0) {
        this.#endpoints.delete(endpoint.name);
      }
    }
  }

  #computeHeadroom(endpoint: PoolEndpoint): number {
    const { limit } = endpoint;
    if (this.#mayHaveUnknownAttempts(endpoint)) {
      return 0;
    }
    return this.#rebuilding
      ? limit.computeFreeSlots(limit.coldLimit)
      : limit.freeSlots;
  }

  /**
   * Whether attempts may run that this scheduler does not know: after a start,
   * those of ingresses that have not reported yet, and those of ingresses in
   * other zones, which are not asked. Only a load report that was sampled after
   * the start shows them.
   */
  #mayHaveUnknownAttempts(
    { limit, isHandoverComplete }: PoolEndpoint,
  ): boolean {
    const { clock, settings, rebuildMilliseconds } = this.#options;
    const age = clock.now() - this.#startedAt;
    if (isHandoverComplete || age >= rebuildMilliseconds) {
      return false;
    }
    const slack = settings.reportSlackMilliseconds;
    return limit.sampledAt < this.#startedAt + slack;
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
      exclusiveAttempt: undefined,
      isReserved: false,
      isHandoverComplete: false,
    });
  }
}
