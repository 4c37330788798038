/** Leases as rows of the platform's table. */

import type { PoolId, ServiceId, VmId, ZoneId } from "@rattanvane/protocol";

const KEY_ROOT = "lease/";

/** The holder that a released lease names. */
export const NO_HOLDER: VmId = "";

/** What a lease row says. */
export interface Lease {
  /** Empty when the lease was released. */
  holder: VmId;
  /** The fencing number: the number of the holder's term. */
  number: number;
  /** Unique for each write, so that a writer knows its own row again. */
  claim: string;
  /** For people; expiry is judged by what a VM has seen, not by wall clocks. */
  expiresAtWall: number;
}

/** A lease with the version of its row. */
export interface LeaseRow {
  pool: PoolId;
  lease: Lease;
  version: number;
}

/** Formats the start of the keys of a zone's leases. */
export function formatLeasePrefix(zone: ZoneId): string {
  return `${KEY_ROOT}${zone}/`;
}

/** Formats the key of a pool's lease. */
export function formatLeaseKey(pool: PoolId): string {
  return `${formatLeasePrefix(pool.zone)}${pool.service}`;
}

/** Reads the service out of the key of a lease of this zone. */
export function parseLeaseKey(zone: ZoneId, key: string): ServiceId {
  return key.slice(formatLeasePrefix(zone).length);
}

/** Formats a lease as the value of its row. */
export function formatLease(lease: Lease): string {
  return JSON.stringify(lease);
}

/** Reads a row's value; undefined when it is not a lease. */
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
