/** Settings of endpoint limits. */

import type { BackoffOptions } from "@rattanvane/base";

/** How an endpoint's limit is found and its health judged. */
export interface EndpointLimitSettings {
  /** The least time between two raises of a limit. */
  growthIntervalMilliseconds: number;
  /** A first byte within this time is never called slow. */
  slowFirstByteMilliseconds: number;
  /** Slow means this many times the usual time to the first byte. */
  slowFactor: number;
  /** What a limit is multiplied with when the endpoint shows overload. */
  decreaseFactor: number;
  /** How far the age that a load report states may be off. */
  reportSlackMilliseconds: number;
  /** Load reports older than this are not relied on. */
  reportFreshMilliseconds: number;
  /** How long attempts of a dead ingress count when no report tells. */
  orphanTimeoutMilliseconds: number;
  /** Delays before an endpoint that is down is tried again. */
  probe: BackoffOptions;
  /** Failed contacts in a row, without a sign of life, that mean down. */
  failuresUntilDown: number;
  /** How recent a sign of life must be to outweigh failed contacts. */
  aliveMilliseconds: number;
  /** Longer than any report's lag; paces the share of an unleased scheduler. */
  aloneMilliseconds: number;
}

/** The settings that fit most fleets. */
export const DEFAULT_ENDPOINT_LIMIT_SETTINGS: EndpointLimitSettings = {
  growthIntervalMilliseconds: 2000,
  slowFirstByteMilliseconds: 2000,
  slowFactor: 4,
  decreaseFactor: 0.75,
  reportSlackMilliseconds: 250,
  reportFreshMilliseconds: 3000,
  orphanTimeoutMilliseconds: 60_000,
  probe: { initialMilliseconds: 500, maximumMilliseconds: 10_000 },
  failuresUntilDown: 3,
  aliveMilliseconds: 2000,
  aloneMilliseconds: 2000,
};
