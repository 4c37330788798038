/** The identifiers that the protocol's messages carry. */

/** Names a VM; unique in the fleet. */
export type VmId = string;

/** Names an availability zone. */
export type ZoneId = string;

/** Names an organisation. */
export type OrganisationId = string;

/** Names a service: a model or a plain service. */
export type ServiceId = string;

/** Names an endpoint; unique in the fleet. */
export type EndpointId = string;

/** Names a caller's request; given by the ingress that took it. */
export type RequestId = string;

/** Names one attempt to run a request at an endpoint. */
export type AttemptId = string;

/** The endpoints of one service in one availability zone. */
export interface PoolId {
  zone: ZoneId;
  service: ServiceId;
}

/** Formats a pool as a key for maps, logs and table rows. */
export function formatPool(pool: PoolId): string {
  return `${pool.zone}/${pool.service}`;
}

/** How a VM is reached. */
export interface VmContact {
  vm: VmId;
  zone: ZoneId;
  /** The IP number of the control port. */
  host: string;
  controlPort: number;
  /** The port on which callers are served, at the same IP number. */
  callerPort: number;
}

/** Orders the schedulers of one pool; compared by number, then by holder. */
export interface Term {
  number: number;
  holder: VmId;
}

/** Compares two terms: negative when the first is the older. */
export function compareTerms(first: Term, second: Term): number {
  if (first.number !== second.number) {
    return first.number - second.number;
  }
  if (first.holder === second.holder) {
    return 0;
  }
  return first.holder < second.holder ? -1 : 1;
}
