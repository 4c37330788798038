/** Encoding of leases as rows of the platform's table. */

import type { PoolId, ServiceId, VmId, ZoneId } from "@rattanvane/protocol";

const KEY_PREFIX = "lease/";
const CLAIM_KEY_PREFIX = "lease-claim/";

/** Value of `Lease.holder` in a released lease. */
export const NO_HOLDER: VmId = "";

/** Contents of a lease row. */
export interface Lease {
  /** The VM that holds the lease; empty when it was released. */
  holder: VmId;
  /** Fencing token: the number of the holder's term. */
  number: number;
  /** Unique for each write, so that a writer can identify its own row. */
  claim: string;
  /** Whether a row with the claim's own key was written together with it. */
  hasClaimRow?: boolean;
  /**
   * Wall time in ms, for people only. VMs detect expiry from the row versions
   * that they observe, not from wall clocks.
   */
  expiresAtWall: number;
}

/** A lease together with its pool and the version of its row. */
export interface LeaseRow {
  pool: PoolId;
  lease: Lease;
  version: number;
}

/** Formats the key prefix of a zone's lease rows. */
export function formatLeasePrefix(zone: ZoneId): string {
  return `${KEY_PREFIX}${zone}/`;
}

/** Formats the key of a pool's lease row. */
export function formatLeaseKey(pool: PoolId): string {
  return `${formatLeasePrefix(pool.zone)}${pool.service}`;
}

/** Formats the key of the row that is written together with one lease. */
export function formatClaimKey(pool: PoolId, claim: string): string {
  return `${CLAIM_KEY_PREFIX}${pool.zone}/${pool.service}/${claim}`;
}

/** Parses the service from the key of a lease row of the given zone. */
export function parseLeaseKey(zone: ZoneId, key: string): ServiceId {
  return key.slice(formatLeasePrefix(zone).length);
}

/** Encodes a lease as the value of its row. */
export function formatLease(lease: Lease): string {
  return JSON.stringify(lease);
}

/** Parses the value of a row; undefined when it is not a valid lease. */
export function parseLease(value: string): Lease | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(value);
  } catch {
    return undefined;
  }
  return isLease(parsed) ? parsed : undefined;
}

function isLease(value: unknown): value is Lease {
  if (typeof value !== "object" || value === null) {
    return false;
  }
  const fields = value as Partial<Record<keyof Lease, unknown>>;
  return typeof fields.holder === "string" &&
    Number.isSafeInteger(fields.number) &&
    typeof fields.claim === "string" &&
    typeof fields.expiresAtWall === "number";
}
