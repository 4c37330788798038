/** Chooses among the endpoints of a plain service. */

import {
  type Choice,
  type ChoiceRequest,
  EndpointChooser,
  NoRoomReason,
} from "./endpoint_chooser.ts";
import type { EndpointState } from "./endpoint_state.ts";

const NO_WORK = { tokens: 0, pairs: 0 };
/** An endpoint that fails everything counts as this many times as busy. */
const FAILURE_PENALTY = 20;
/** Requests that wait at an endpoint, as a part of its slots. */
const QUEUE_SHARE = 0.5;

/** Takes the endpoint with the least to do for its slots and pace. */
export class PlainChooser extends EndpointChooser {
  override choose(
    request: ChoiceRequest,
    endpoints: readonly EndpointState[],
  ): Choice | NoRoomReason {
    if (endpoints.length === 0) {
      return NoRoomReason.NoEndpoint;
    }
    const open = endpoints.filter((endpoint) => hasRoom(endpoint));
    const best = pickLeastBusy(open, request);
    return best === undefined ? NoRoomReason.Busy : createChoice(best);
  }
}

function hasRoom({ record, running }: EndpointState): boolean {
  return running < record.slots * (1 + QUEUE_SHARE);
}

function pickLeastBusy(
  endpoints: readonly EndpointState[],
  { avoid }: ChoiceRequest,
): EndpointState | undefined {
  let best: EndpointState | undefined;
  let bestCost = Infinity;
  for (const endpoint of endpoints) {
    const cost = computeBusyness(endpoint) +
      (avoid.has(endpoint.record.id) ? FAILURE_PENALTY : 0);
    if (cost < bestCost) {
      best = endpoint;
      bestCost = cost;
    }
  }
  return best;
}

function computeBusyness(endpoint: EndpointState): number {
  const { record, running, pace, failureShare, cold } = endpoint;
  const load = (running + 1) / Math.max(1, record.slots);
  const penalty = cold.isDown ? FAILURE_PENALTY : 0;
  return load * pace * (1 + FAILURE_PENALTY * failureShare) + penalty;
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
