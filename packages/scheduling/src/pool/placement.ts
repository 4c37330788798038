/** Picks the endpoint for an attempt. */

import { EndpointState } from "@rattanvane/limits";
import { PlacementReason, type QueueEntry } from "@rattanvane/protocol";
import type { PoolEndpoint } from "./pool_endpoints.ts";
import type { PoolState } from "./pool_state.ts";

/** An endpoint and the reason for picking it. */
export interface Placement {
  endpoint: PoolEndpoint;
  reason: PlacementReason;
}

/** Picks an endpoint with a free slot; undefined if there is none. */
export function pickPlacement(
  state: PoolState,
  entry: QueueEntry,
): Placement | undefined {
  const candidates = listCandidates(state, entry);
  let best: PoolEndpoint | undefined;
  for (const endpoint of candidates) {
    if (state.endpoints.computeFreeSlots(endpoint) === 0) {
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
 * Picks an idle endpoint for a suspect. Endpoints on which the request failed
 * are acceptable if there is no other: after a crash they are cold and idle.
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
    const isPreferred = !entry.avoid.includes(endpoint.name);
    if (best === undefined || isPreferred) {
      best = endpoint;
    }
  }
  return best === undefined
    ? undefined
    : { endpoint: best, reason: PlacementReason.SuspectAlone };
}

/** Picks the endpoint to reserve for suspects: the one that drains first. */
export function pickEndpointToReserve(
  state: PoolState,
): PoolEndpoint | undefined {
  let best: PoolEndpoint | undefined;
  for (const endpoint of state.endpoints.list()) {
    if (endpoint.isReserved || !isServing(endpoint)) {
      continue;
    }
    if (best === undefined || computeLoad(endpoint) < computeLoad(best)) {
      best = endpoint;
    }
  }
  return best;
}

/**
 * Lists the endpoints that take work, without those on which the request failed
 * unless no others remain: a pool of one endpoint must be able to retry there.
 */
function listCandidates(state: PoolState, entry: QueueEntry): PoolEndpoint[] {
  const available: PoolEndpoint[] = [];
  const preferred: PoolEndpoint[] = [];
  for (const endpoint of state.endpoints.list()) {
    if (endpoint.closed) {
      continue;
    }
    available.push(endpoint);
    if (!entry.avoid.includes(endpoint.name)) {
      preferred.push(endpoint);
    }
  }
  return preferred.length > 0 ? preferred : available;
}

/** Whether an endpoint takes work and is up. */
export function isServing({ closed, limit }: PoolEndpoint): boolean {
  return !closed && limit.state === EndpointState.Up;
}

function computeLoad(endpoint: PoolEndpoint): number {
  const { limit } = endpoint;
  return (limit.outstanding + limit.foreign) / Math.max(1, limit.limit);
}
