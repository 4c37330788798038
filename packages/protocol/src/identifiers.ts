/** Identifiers used in protocol messages. */

/** Identifies a VM; unique in the fleet. */
export type VmId = string;

/** Identifies an availability zone. */
export type ZoneId = string;

/** Identifies an organisation. */
export type OrganisationId = string;

/** Identifies a service: a model or a plain service. */
export type ServiceId = string;

/** Identifies an endpoint; unique in the fleet. */
export type EndpointId = string;

/** Identifies a caller's request; assigned by the ingress that accepted it. */
export type RequestId = string;

/** Identifies one attempt to run a request at an endpoint. */
export type AttemptId = string;

/** Identifies the pool of a service's endpoints in one availability zone. */
export interface PoolId {
  zone: ZoneId;
  service: ServiceId;
}

/** Formats a pool as `zone/service`, a key for maps, logs and table rows. */
export function formatPool(pool: PoolId): string {
  return `${pool.zone}/${pool.service}`;
}

/** The network addresses of a VM. */
export interface VmContact {
  vm: VmId;
  zone: ZoneId;
  /** The IP address of the control port. */
  host: string;
  controlPort: number;
  /** The port for callers, at the same IP address. */
  callerPort: number;
  /** Processor capacity in cores; 0 or unset if it is not known. */
  capacity?: number;
}

/** Orders successive schedulers of a pool; compared by number, then by holder. */
export interface Term {
  number: number;
  holder: VmId;
}

/** Compares two terms; negative when the first is older, 0 when they are equal. */
export function compareTerms(first: Term, second: Term): number {
  if (first.number !== second.number) {
    return first.number - second.number;
  }
  if (first.holder === second.holder) {
    return 0;
  }
  return first.holder < second.holder ? -1 : 1;
}
