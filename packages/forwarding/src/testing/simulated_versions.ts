/** Endpoints of two versions, and the requests that reach them. */

import { RandomSource } from "@rattanvane/base";
import type { AttemptGrant } from "../admission/admission.ts";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { buildCall, buildEndpoint, buildRoute } from "./fixtures.ts";
import type { SimulatedFleet, SimulatedVm } from "./simulated_fleet.ts";

const ANSWER_MILLISECONDS = 40;
const SLOW_FACTOR = 5;
const TICK_MILLISECONDS = 10;
const LOAD_WINDOW_MILLISECONDS = 1_000;
const ROUTES = ["route-a", "route-b", "route-c"];
const DEADLINE_MILLISECONDS = 3_000;

/** A request that reached an endpoint of the new version. */
export interface NewVersionArrival {
  endpoint: string;
  route: string;
  /** Requests a second that reach this endpoint. */
  load: number;
  sinceOrderMilliseconds: number;
}

/** What is wrong with the answer of a bad version. */
export enum Fault {
  None = "none",
  Failure = "failure",
  Slow = "slow",
}

/** Picks the fault of one answer of the new version. */
export type PickFault = (
  arrival: NewVersionArrival,
  random: RandomSource,
) => Fault;

/** Settings of {@link SimulatedVersions}. */
export interface SimulatedVersionsOptions {
  seed: number;
  zones: number;
  endpointsPerVersion: number;
  requestsPerSecond: number;
  pickFault: PickFault;
}

/** Sends requests to a fleet and counts where they arrive. */
export class SimulatedVersions {
  /** Requests since the order that reached an endpoint, by version. */
  readonly arrivals = new Map<string, number>();
  /** When bad answers ended, in milliseconds of the clock. */
  readonly badAnswers: number[] = [];
  /** When requests were sent to the new version. */
  readonly newArrivals: number[] = [];
  /** The most requests in a second at an endpoint of the new version. */
  largestNewLoad = 0;
  /** Requests without an endpoint. */
  refused = 0;
  readonly #fleet: SimulatedFleet;
  readonly #options: SimulatedVersionsOptions;
  readonly #random: RandomSource;
  readonly #loads = new Map<string, number[]>();
  #orderedAt = Infinity;
  #credit = 0;

  constructor(fleet: SimulatedFleet, options: SimulatedVersionsOptions) {
    this.#fleet = fleet;
    this.#options = options;
    this.#random = new RandomSource(options.seed);
  }

  /** Registers the endpoints of a version. */
  registerEndpoints(version: string, coldMilliseconds = 0): void {
    for (let index = 0; index < this.#options.endpointsPerVersion; index++) {
      const id = `${version}-${index}`;
      this.#fleet.store.put(
        "endpoints",
        id,
        buildEndpoint(id, {
          zone: `zone-${index % this.#options.zones}`,
          port: index + 1,
          version,
          coldMilliseconds,
          startedAtUnixMilliseconds: -60_000,
        }),
      );
    }
  }

  /** Removes the endpoints of a version, as their end does. */
  removeEndpoints(version: string): void {
    for (let index = 0; index < this.#options.endpointsPerVersion; index++) {
      this.#fleet.store.remove("endpoints", `${version}-${index}`);
    }
  }

  /** Writes the order to move the service to a version. */
  order(version: string, rampMilliseconds: number): void {
    const service = "engines";
    this.#orderedAt = this.#fleet.clock.now();
    this.arrivals.clear();
    this.#fleet.store.put("operator", `rollout/${service}`, {
      service,
      version,
      rampMilliseconds,
    });
  }

  /** Sends requests at the VMs in turn for this time. */
  async run(milliseconds: number): Promise<void> {
    const { clock } = this.#fleet;
    const endsAt = clock.now() + milliseconds;
    while (clock.now() < endsAt) {
      this.#credit += this.#options.requestsPerSecond * TICK_MILLISECONDS /
        1_000;
      while (this.#credit >= 1) {
        this.#credit--;
        const vms = [...this.#fleet.vms.values()];
        const vm = vms[this.#random.nextInteger(0, vms.length - 1)];
        if (vm !== undefined) {
          void this.#send(vm);
        }
      }
      await clock.advance(TICK_MILLISECONDS);
    }
  }

  /** Reads the status that the operator sees; undefined before there is one. */
  get phase(): string | undefined {
    const status = this.#fleet.store.find("status", "engines");
    return status === undefined ? undefined : JSON.parse(status).phase;
  }

  /** Requests since the order that reached an endpoint of any version. */
  get reached(): number {
    return [...this.arrivals.values()].reduce((sum, count) => sum + count, 0);
  }

  async #send(vm: SimulatedVm): Promise<void> {
    const { signal } = vm.lifetime;
    const name = ROUTES[this.#random.nextInteger(0, ROUTES.length - 1)] ?? "";
    const call = buildCall(vm.clock.now(), {
      route: buildRoute({ name, timeoutMilliseconds: DEADLINE_MILLISECONDS }),
    });
    const { grant } = await vm.fleet.admission.submit({
      call,
      avoid: new Set(),
      excluded: new Set(),
      isRepeated: false,
    }, signal);
    if (signal.aborted) {
      return;
    }
    if (grant === undefined) {
      this.refused++;
      return;
    }
    await this.#serve(vm, grant, name);
  }

  async #serve(
    vm: SimulatedVm,
    grant: AttemptGrant,
    route: string,
  ): Promise<void> {
    const { clock } = this.#fleet;
    const { id } = grant.endpoint;
    const version = id.slice(0, id.lastIndexOf("-"));
    const sentAt = clock.now();
    this.arrivals.set(version, (this.arrivals.get(version) ?? 0) + 1);
    const load = this.#recordLoad(id);
    const isNew = version !== "v1";
    if (isNew) {
      this.newArrivals.push(sentAt);
      this.largestNewLoad = Math.max(this.largestNewLoad, load);
    }
    const sinceOrderMilliseconds = sentAt - this.#orderedAt;
    const fault = isNew
      ? this.#options.pickFault(
        { endpoint: id, route, load, sinceOrderMilliseconds },
        this.#random,
      )
      : Fault.None;
    const spread = 0.5 + this.#random.nextFraction();
    const factor = fault === Fault.Slow ? SLOW_FACTOR : 1;
    await clock.sleep(
      ANSWER_MILLISECONDS * spread * factor,
      vm.lifetime.signal,
    );
    if (fault !== Fault.None) {
      this.badAnswers.push(clock.now());
    }
    grant.recordAnswerStart();
    grant.recordEnd({
      kind: fault === Fault.Failure ? OutcomeKind.Failed : OutcomeKind.Answered,
      isConnectionRefused: false,
      firstMilliseconds: clock.now() - sentAt,
      longestPauseMilliseconds: 0,
    });
  }

  /** Returns the requests in the last second. */
  #recordLoad(endpoint: string): number {
    const now = this.#fleet.clock.now();
    const times = this.#loads.get(endpoint) ?? [];
    this.#loads.set(endpoint, times);
    times.push(now);
    while ((times[0] ?? now) < now - LOAD_WINDOW_MILLISECONDS) {
      times.shift();
    }
    return times.length;
  }
}
