/** Settings of endpoint limits. */

import type { BackoffOptions } from "@rattanvane/base";

/** Settings by which an endpoint's limit and health are determined. */
export interface EndpointLimitSettings {
  /** Minimum time between two raises of a limit. */
  growthIntervalMilliseconds: number;
  /** A time to first byte up to this one never counts as slow. */
  slowFirstByteMilliseconds: number;
  /** Multiple of the baseline time to first byte that counts as slow. */
  slowFactor: number;
  /** Factor by which a limit is multiplied when the endpoint is overloaded. */
  decreaseFactor: number;
  /** Maximum error of the age that a load report states. */
  reportSlackMilliseconds: number;
  /** Age up to which load reports are used. */
  reportFreshMilliseconds: number;
  /** Time that attempts of a dead ingress count if no report shows their end. */
  orphanTimeoutMilliseconds: number;
  /** Back-off delays between probes of an endpoint that is down. */
  probe: BackoffOptions;
  /** Consecutive failures without any response that mark an endpoint as down. */
  failuresUntilDown: number;
  /** Time after a response during which failures are ignored. */
  aliveWindowMilliseconds: number;
  /**
   * Upper bound on the lag of load reports; determines how fast the share of a
   * scheduler without a lease may grow.
   */
  maximumReportLagMilliseconds: number;
}

/** Default settings, suitable for most fleets. */
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
  aliveWindowMilliseconds: 2000,
  maximumReportLagMilliseconds: 2000,
};
