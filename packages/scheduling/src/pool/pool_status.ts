/** Builds a pool's status report for operators. */

import type { EndpointState } from "@rattanvane/limits";
import type { PoolId, Term } from "@rattanvane/protocol";
import type { PoolState } from "./pool_state.ts";

/** The status of one endpoint. */
export interface EndpointStatus {
  endpoint: string;
  state: EndpointState;
  /** Whether the endpoint gets no new work, as when drained or removed. */
  closed: boolean;
  /** The current concurrency limit, in requests. */
  limit: number;
  /** Attempts that this scheduler counts as running there. */
  outstanding: number;
  /** Running requests in its load report that this scheduler did not grant. */
  foreign: number;
}

/** The waiting requests of one organisation. */
export interface OrganisationStatus {
  organisation: string;
  waiting: number;
  /**
   * The virtual counter: cost units served divided by the weight, plus the
   * amounts by which the counter was raised.
   */
  virtual: number;
}

/** The status of a pool as its scheduler sees it. */
export interface PoolStatus {
  pool: PoolId;
  term: Term;
  leased: boolean;
  /** Whether work reports are awaited after the scheduler's start. */
  rebuilding: boolean;
  waiting: number;
  running: number;
  /** Entries sent to another zone whose transfer is not confirmed yet. */
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
