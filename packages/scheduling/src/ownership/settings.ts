/** Settings of pool ownership. */

/** Durations that govern leases and the selection of owners. */
export interface OwnershipSettings {
  /** Duration of a lease; it is renewed after a third of it. */
  leaseMilliseconds: number;
  /** Longest delay between two passes over all pools. */
  passIntervalMilliseconds: number;
  /**
   * How long the zone's VMs must be unchanged before a pool is acquired without
   * a lease; also how long a started VM waits to discover them.
   */
  settleMilliseconds: number;
  /** How long a VM must have been live before pools are assigned to it. */
  joinDelayMilliseconds: number;
  /** Timeout of one call to the platform. */
  platformTimeoutMilliseconds: number;
  /** Back-off after a failed call to the platform. */
  platformBackOffMilliseconds: number;
}

/** Default settings of pool ownership. */
export const DEFAULT_OWNERSHIP_SETTINGS: OwnershipSettings = {
  leaseMilliseconds: 6_000,
  passIntervalMilliseconds: 500,
  settleMilliseconds: 2_000,
  joinDelayMilliseconds: 4_000,
  platformTimeoutMilliseconds: 1_000,
  platformBackOffMilliseconds: 2_000,
};
