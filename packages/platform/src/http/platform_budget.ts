/** One VM's share of the platform's read and write limits. */

import type { Clock, RandomSource } from "@rattanvane/base";
import { TokenBucket } from "./token_bucket.ts";

/** The call rates of the whole fleet towards the platform. */
export interface PlatformRates {
  readsPerSecond: number;
  writesPerSecond: number;
}

/** The rates that a fleet stays within, with headroom below the platform's limits. */
export const DEFAULT_FLEET_RATES: PlatformRates = {
  readsPerSecond: 1_500,
  writesPerSecond: 320,
};

/** The bucket capacity of a VM, in seconds of its rate. */
const BURST_SECONDS = 0.25;
const MIN_BURST_CALLS = 1;

/** Divides the fleet's rates evenly among its VMs. */
export function computeVmRates(
  fleet: PlatformRates,
  vms: number,
): PlatformRates {
  const shares = Math.max(1, vms);
  return {
    readsPerSecond: fleet.readsPerSecond / shares,
    writesPerSecond: fleet.writesPerSecond / shares,
  };
}

/** The token buckets that are shared by all platform clients of one VM. */
export class PlatformBudget {
  readonly reads: TokenBucket;
  readonly writes: TokenBucket;

  constructor(
    rates: PlatformRates,
    options: { clock: Clock; random: RandomSource },
  ) {
    this.reads = createBucket(rates.readsPerSecond, options);
    this.writes = createBucket(rates.writesPerSecond, options);
  }

  /** Applies new rates after the fleet or this VM's role has changed. */
  updateRates(rates: PlatformRates): void {
    this.reads.updateRate(rates.readsPerSecond);
    this.writes.updateRate(rates.writesPerSecond);
  }
}

function createBucket(
  ratePerSecond: number,
  options: { clock: Clock; random: RandomSource },
): TokenBucket {
  // A random initial fill keeps VMs that restart together from sending their
  // calls at the same time.
  const burst = Math.max(MIN_BURST_CALLS, ratePerSecond * BURST_SECONDS);
  return new TokenBucket({
    clock: options.clock,
    ratePerSecond,
    burst,
    initialTokens: options.random.nextFraction(),
  });
}
