/** Chooses the endpoint for an attempt. */

import { EndpointState } from "@rattanvane/limits";
import { PlacementReason, type QueueEntry } from "@rattanvane/protocol";
import type { PoolEndpoint } from "./pool_endpoints.ts";
import type { PoolState } from "./pool_state.ts";

/** An endpoint and why it was chosen. */
export interface Placement {
  endpoint: PoolEndpoint;
  reason: PlacementReason;
}

/** Picks an endpoint with room; undefined when there is none to be used. */
export function pickPlacement(
  state: PoolState,
  entry: QueueEntry,
): Placement | undefined {
  const usable = listUsable(state, entry);
  let best: PoolEndpoint | undefined;
  for (const endpoint of usable) {
    if (state.endpoints.computeFree(endpoint) === 0) {
      continue;
    }
    if (state.prefixes.has(endpoint.name, entry.prefix)) {
      return { endpoint, reason: PlacementReason.CachedPrefix };
    }
    if (best === undefined || computeLoad(endpoint) < computeLoad(best)) {
      best = endpoint;
    }
  }
  if (best === undefined) {
    return undefined;
  }
  const isLocal = entry.ingress === state.options.self ||
    state.ingresses.has(entry.ingress);
  const reason = isLocal
    ? PlacementReason.LeastLoaded
    : PlacementReason.OtherZone;
  return { endpoint: best, reason };
}

/**
 * Picks an endpoint on which nothing runs, for a suspect. One that failed it
 * will do: after a crash it is cold and idle anyway.
 */
export function pickIdlePlacement(
  state: PoolState,
  entry: QueueEntry,
): Placement | undefined {
  let best: PoolEndpoint | undefined;
  for (const endpoint of state.endpoints.list()) {
    const mayBeDown = state.evidence.isUndecided(endpoint.name);
    if (mayBeDown || !state.endpoints.canRunAlone(endpoint)) {
      continue;
    }
    const isWelcome = !entry.avoid.includes(endpoint.name);
    if (best === undefined || isWelcome) {
      best = endpoint;
    }
  }
  return best === undefined
    ? undefined
    : { endpoint: best, reason: PlacementReason.SuspectAlone };
}

/** Picks the endpoint that is drained soonest, to run suspects alone. */
export function pickWard(state: PoolState): PoolEndpoint | undefined {
  let best: PoolEndpoint | undefined;
  for (const endpoint of state.endpoints.list()) {
    if (endpoint.isWard || !isServing(endpoint)) {
      continue;
    }
    if (best === undefined || computeLoad(endpoint) < computeLoad(best)) {
      best = endpoint;
    }
  }
  return best;
}

/**
 * Endpoints that failed the request are left out, unless that leaves none: a
 * pool of one endpoint must be able to retry there.
 */
function listUsable(state: PoolState, entry: QueueEntry): PoolEndpoint[] {
  const open: PoolEndpoint[] = [];
  const welcome: PoolEndpoint[] = [];
  for (const endpoint of state.endpoints.list()) {
    if (endpoint.closed) {
      continue;
    }
    open.push(endpoint);
    if (!entry.avoid.includes(endpoint.name)) {
      welcome.push(endpoint);
    }
  }
  return welcome.length > 0 ? welcome : open;
}

/** Whether an endpoint takes work and is not down. */
export function isServing({ closed, limit }: PoolEndpoint): boolean {
  return !closed && limit.state === EndpointState.Up;
}

function computeLoad(endpoint: PoolEndpoint): number {
  const { limit } = endpoint;
  return (limit.outstanding + limit.foreign) / Math.max(1, limit.limit);
}
