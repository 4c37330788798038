/** Endpoints of a {@link SimulatedFleet} that state a limit in responses. */

import type { Clock } from "@rattanvane/base";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import { buildCall, NO_RESTRICTIONS } from "./fixtures.ts";
import type { SimulatedVm } from "./simulated_fleet.ts";

const FIRST_BYTE_MILLISECONDS = 40;
const RESPONSE_MILLISECONDS = 200;
const WINDOW_MILLISECONDS = 4_000;
/** Arrivals of VMs that have passed the limit on for this time count. */
const NOTICE_MILLISECONDS = 500;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

interface Arrival {
  vm: string;
  at: number;
}

/** Submits requests and counts those that reach each endpoint. */
export class LimitedEndpoints {
  /** The limit that an endpoint states now; undefined for none. */
  readonly limits = new Map<string, number>();
  readonly arrivals = new Map<string, Arrival[]>();
  refused = 0;
  readonly #clock: Clock;
  /** When each VM first passed on a limit, by endpoint and VM. */
  readonly #informedAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Submits one request at a VM and runs it if an endpoint is granted. */
  async submit(vm: SimulatedVm): Promise<void> {
    const { signal } = vm.lifetime;
    const { grant } = await vm.fleet.admission.submit(
      {
        call: buildCall(vm.clock.now()),
        ...NO_RESTRICTIONS,
        isRepeated: false,
      },
      signal,
    );
    if (grant === undefined) {
      this.refused++;
      return;
    }
    const { id } = grant.endpoint;
    const arrivals = this.arrivals.get(id) ?? [];
    this.arrivals.set(id, arrivals);
    arrivals.push({ vm: vm.contact.vm, at: this.#clock.now() });
    await this.#clock.sleep(FIRST_BYTE_MILLISECONDS, signal);
    this.#state(id, vm);
    grant.recordAnswerStart();
    await this.#clock.sleep(
      RESPONSE_MILLISECONDS - FIRST_BYTE_MILLISECONDS,
      signal,
    );
    grant.recordEnd({
      kind: OutcomeKind.Answered,
      isConnectionRefused: false,
      firstMilliseconds: FIRST_BYTE_MILLISECONDS,
      longestPauseMilliseconds: 0,
    });
  }

  /**
   * Returns by how many arrivals the worst window between two times exceeds
   * what a limit allows; 0 or less if none does.
   */
  computeExcess(
    endpoint: string,
    requestsPerSecond: number,
    { from, to }: { from: number; to: number },
  ): number {
    const allowed = ALLOWED_FACTOR * requestsPerSecond *
        WINDOW_MILLISECONDS / 1_000 + ALLOWED_EXTRA;
    const counted = (this.arrivals.get(endpoint) ?? []).filter(({ vm, at }) =>
      at >= from && at < to && this.#isInformed(endpoint, vm, at)
    );
    let worst = 0;
    for (const [index, { at }] of counted.entries()) {
      let end = index;
      while ((counted[end]?.at ?? Infinity) < at + WINDOW_MILLISECONDS) {
        end++;
      }
      worst = Math.max(worst, end - index);
    }
    return worst - allowed;
  }

  /** Counts the arrivals at an endpoint between two times. */
  countArrivals(
    endpoint: string,
    { from, to }: { from: number; to: number },
  ): number {
    return (this.arrivals.get(endpoint) ?? [])
      .filter(({ at }) => at >= from && at < to).length;
  }

  #isInformed(endpoint: string, vm: string, at: number): boolean {
    const informedAt = this.#informedAt.get(`${endpoint} ${vm}`) ?? Infinity;
    return at - informedAt >= NOTICE_MILLISECONDS;
  }

  #state(endpoint: string, vm: SimulatedVm): void {
    const requestsPerSecond = this.limits.get(endpoint);
    const key = `${endpoint} ${vm.contact.vm}`;
    if (requestsPerSecond !== undefined && !this.#informedAt.has(key)) {
      this.#informedAt.set(key, this.#clock.now());
    }
    vm.limits.record({ endpoint, requestsPerSecond, ageMilliseconds: 0 });
  }
}
