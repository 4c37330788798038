/** Requests that VMs of a {@link SimulatedFleet} submit and run. */

import type { Clock } from "@rattanvane/base";
import { OutcomeKind } from "../model/attempt_outcome.ts";
import type { ForwardedCall } from "../model/call.ts";
import type { AttemptGrant } from "../admission/admission.ts";
import { buildCall, NO_RESTRICTIONS } from "./fixtures.ts";
import type { SimulatedVm } from "./simulated_fleet.ts";

const FIRST_BYTE_MILLISECONDS = 50;

/** How one request was decided, in milliseconds of the simulated clock. */
export interface SimulatedDecision {
  vm: string;
  submittedAt: number;
  decidedAt: number;
  /** Undefined for a refused request. */
  endpoint: string | undefined;
}

/** Submits requests and runs the attempts that are granted. */
export class SimulatedLoad {
  readonly decisions: SimulatedDecision[] = [];
  /** Requests that are not decided yet. */
  pending = 0;
  readonly #clock: Clock;
  readonly #attemptMilliseconds: number;

  constructor(clock: Clock, attemptMilliseconds = 300) {
    this.#clock = clock;
    this.#attemptMilliseconds = attemptMilliseconds;
  }

  /** Submits a request at a VM, and runs it if an endpoint is granted. */
  async submit(
    vm: SimulatedVm,
    changes: Partial<ForwardedCall> = {},
  ): Promise<void> {
    const { signal } = vm.lifetime;
    const submittedAt = this.#clock.now();
    const call = buildCall(vm.clock.now(), changes);
    this.pending++;
    const { grant } = await vm.fleet.admission.submit(
      { call, ...NO_RESTRICTIONS, isRepeated: false },
      signal,
    );
    this.pending--;
    this.decisions.push({
      vm: vm.contact.vm,
      submittedAt,
      decidedAt: this.#clock.now(),
      endpoint: grant?.endpoint.id,
    });
    if (grant !== undefined) {
      await this.#run(grant, signal);
    }
  }

  async #run(grant: AttemptGrant, signal: AbortSignal): Promise<void> {
    await this.#clock.sleep(FIRST_BYTE_MILLISECONDS, signal);
    grant.recordAnswerStart();
    await this.#clock.sleep(
      this.#attemptMilliseconds - FIRST_BYTE_MILLISECONDS,
      signal,
    );
    grant.recordEnd({
      kind: OutcomeKind.Answered,
      isConnectionRefused: false,
      firstMilliseconds: FIRST_BYTE_MILLISECONDS,
      longestPauseMilliseconds: 0,
    });
  }
}
