/** A pool as its scheduler sees it, for operators. */

import type { EndpointState } from "@rattanvane/limits";
import type { PoolId, Term } from "@rattanvane/protocol";
import type { PoolState } from "./pool_state.ts";

/** One endpoint of a pool. */
export interface EndpointStatus {
  endpoint: string;
  state: EndpointState;
  /** Gets no new work. */
  closed: boolean;
  limit: number;
  outstanding: number;
  /** Requests of others that its reports show. */
  foreign: number;
}

/** What one organisation has waiting in a pool. */
export interface OrganisationStatus {
  organisation: string;
  waiting: number;
  /** Service received divided by the weight, plus lifts. */
  virtual: number;
}

/** A pool as its scheduler sees it. */
export interface PoolStatus {
  pool: PoolId;
  term: Term;
  leased: boolean;
  rebuilding: boolean;
  waiting: number;
  running: number;
  /** Entries on their way to another zone. */
  moving: number;
  virtualTime: number;
  endpoints: EndpointStatus[];
  /** Organisations with waiting requests. */
  organisations: OrganisationStatus[];
}

/** Builds the status of a pool. */
export function buildPoolStatus(
  state: PoolState,
  parts: { rebuilding: boolean; moving: number },
): PoolStatus {
  const { pool, term, leased } = state.options;
  return {
    pool,
    term,
    leased,
    rebuilding: parts.rebuilding,
    waiting: state.queue.size,
    running: state.attempts.size,
    moving: parts.moving,
    virtualTime: state.queue.fair.virtualTime,
    endpoints: listEndpoints(state),
    organisations: listOrganisations(state),
  };
}

function listEndpoints(state: PoolState): EndpointStatus[] {
  const statuses: EndpointStatus[] = [];
  for (const { name, limit, closed } of state.endpoints.list()) {
    statuses.push({
      endpoint: name,
      state: limit.state,
      closed,
      limit: limit.limit,
      outstanding: limit.outstanding,
      foreign: limit.foreign,
    });
  }
  return statuses;
}

function listOrganisations(state: PoolState): OrganisationStatus[] {
  const { fair } = state.queue;
  const statuses: OrganisationStatus[] = [];
  for (const { organisation, virtual } of fair.listCounters()) {
    const waiting = fair.countWaiting(organisation);
    if (waiting > 0) {
      statuses.push({ organisation, waiting, virtual });
    }
  }
  return statuses;
}
