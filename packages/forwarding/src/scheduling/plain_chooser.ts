/** Chooses among the endpoints of a service without model engines. */

import type { RandomSource } from "@rattanvane/base";
import { ChoiceSpread } from "./choice_spread.ts";
import { computeQueueFactor } from "./completion_times.ts";
import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoCapacityReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";
import {
  computeZoneCost,
  findZoneDistance,
  type ZoneCost,
} from "./zone_cost.ts";

const NO_WORK = { tokens: 0, pairs: 0 };
/** An endpoint that fails all requests counts as this many times as loaded. */
const FAILURE_PENALTY = 20;
/** Requests that may queue at an endpoint, as a fraction of its slots. */
const QUEUE_FRACTION = 0.5;
/** Prefers emptier endpoints among those with free slots. */
const LOAD_WEIGHT = 0.1;

/**
 * Chooses the endpoint with the lowest load relative to its slots and pace or, if
 * endpoints report their speed, with the earliest expected completion. The cost
 * of another zone counts as a part of the objective: a cost of all of it weighs
 * like a full endpoint.
 */
export class PlainChooser extends EndpointChooser {
  readonly #random: RandomSource;
  readonly #zoneCost: ZoneCost | undefined;

  /**
   * @param random lets VMs with the same reports choose differently
   * @param zoneCost undefined to treat all zones alike
   */
  constructor(random: RandomSource, zoneCost?: ZoneCost) {
    super();
    this.#random = random;
    this.#zoneCost = zoneCost;
  }

  override choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoCapacityReason {
    if (endpoints.length === 0) {
      return NoCapacityReason.NoEndpoint;
    }
    const open = endpoints.filter((endpoint) =>
      hasCapacity(endpoint) && !request.excluded.has(endpoint.record.id)
    );
    const { call } = request;
    const distance = findZoneDistance(call, this.#zoneCost);
    const computeCost = open.some(({ speed }) => speed.isReported)
      ? createCompletionCost(this.#random)
      : computeLoadCost;
    const best = pickCheapest(
      open,
      request,
      (endpoint) =>
        computeCost(endpoint) +
        computeZoneCost(distance, endpoint.record.zone) /
          call.route.objectiveMilliseconds,
    );
    return best === undefined ? NoCapacityReason.Busy : createChoice(best);
  }

  override describeLimits(
    _request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): string {
    const full = endpoints.filter((endpoint) => !hasCapacity(endpoint)).length;
    return `slots ${full}, usable ${endpoints.length}`;
  }
}

function hasCapacity(endpoint: EndpointState): boolean {
  const { record, running, hasRateCapacity } = endpoint;
  return hasRateCapacity && running < record.slots * (1 + QUEUE_FRACTION);
}

function pickCheapest(
  endpoints: readonly EndpointState[],
  { avoid }: ChoiceRequest,
  computeCost: (endpoint: EndpointState) => number,
): EndpointState | undefined {
  let best: EndpointState | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    const cost = computeCost(endpoint) +
      (avoid.has(endpoint.record.id) ? FAILURE_PENALTY : 0);
    if (cost < bestCost) {
      best = endpoint;
      bestCost = cost;
    }
  }
  return best;
}

function computeLoadCost(endpoint: EndpointState): number {
  const { record, running, pace, failureRate: failureShare, coldStart } =
    endpoint;
  const load = (running + 1) / Math.max(1, record.slots);
  const penalty = coldStart.isDown ? FAILURE_PENALTY : 0;
  return load * pace * (1 + FAILURE_PENALTY * failureShare) + penalty;
}

/** Returns the expected completion relative to the usual time of a request. */
function createCompletionCost(
  random: RandomSource,
): (endpoint: EndpointState) => number {
  const spread = new ChoiceSpread(random);
  return (endpoint) => {
    const { record, running, pace, failureRate, coldStart } = endpoint;
    const load = (running + 1) / Math.max(1, record.slots);
    const completion = pace *
      (computeQueueFactor(running + 1, record.slots) + LOAD_WEIGHT * load);
    const penalty = coldStart.isDown ? FAILURE_PENALTY : 0;
    return completion * spread.computeFactor(endpoint) *
        (1 + FAILURE_PENALTY * failureRate) + penalty;
  };
}

function createChoice(endpoint: EndpointState): Choice {
  return {
    endpoint,
    work: NO_WORK,
    totalWork: NO_WORK,
    missingTokens: 0,
    predictedMilliseconds: 0,
    isLong: false,
  };
}
