/** One VM's share of the platform's read and write limits. */

import type { Clock, RandomSource } from "@rattanvane/base";
import { TokenBucket } from "./token_bucket.ts";

/** The calls that the platform bears from the whole fleet. */
export interface PlatformRates {
  readsPerSecond: number;
  writesPerSecond: number;
}

/** The rates that a fleet keeps to, with room below the platform's limits. */
export const DEFAULT_FLEET_RATES: PlatformRates = {
  readsPerSecond: 1_500,
  writesPerSecond: 320,
};

/** How much of its rate a VM saves up while it calls nothing. */
const BURST_SECONDS = 0.25;
const LEAST_BURST_CALLS = 1;

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

/** The buckets that all platform clients of one VM draw from. */
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

  /** Takes new rates, after the fleet or this VM's role has changed. */
  updateRates(rates: PlatformRates): void {
    this.reads.updateRate(rates.readsPerSecond);
    this.writes.updateRate(rates.writesPerSecond);
  }
}

function createBucket(
  ratePerSecond: number,
  options: { clock: Clock; random: RandomSource },
): TokenBucket {
  // A random start keeps VMs that restart together from calling together.
  const burst = Math.max(LEAST_BURST_CALLS, ratePerSecond * BURST_SECONDS);
  return new TokenBucket({
    clock: options.clock,
    ratePerSecond,
    burst,
    initialTokens: options.random.nextFraction(),
  });
}
