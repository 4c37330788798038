/** What the ownership of pools can be tuned with. */

/** Times of leases and of the choice of schedulers. */
export interface OwnershipSettings {
  /** How long a lease lasts; it is renewed after a third of that. */
  leaseMilliseconds: number;
  /** The longest pause between two passes over all pools. */
  tickMilliseconds: number;
  /** How long the zone's VMs must be unchanged before a term without lease. */
  settleMilliseconds: number;
  /** How long a VM must have been live before it is given pools. */
  joinDelayMilliseconds: number;
  /** How long one call to the platform may take. */
  platformTimeoutMilliseconds: number;
  /** How long a failed platform is left alone. */
  platformRetryMilliseconds: number;
}

/** The defaults. */
export const DEFAULT_OWNERSHIP_SETTINGS: OwnershipSettings = {
  leaseMilliseconds: 6_000,
  tickMilliseconds: 500,
  settleMilliseconds: 2_000,
  joinDelayMilliseconds: 4_000,
  platformTimeoutMilliseconds: 1_000,
  platformRetryMilliseconds: 2_000,
};
