/** What the platform stand-in has counted. */

/** Counts since the process started. */
export interface PlatformCounters {
  /** Calls that read, within the budget. */
  reads: number;
  /** Calls that write, within the budget; a transaction counts one. */
  writes: number;
  /** Calls over the budget, answered with 429. */
  refused: number;
  /** Calls during an outage, answered with 503. */
  unavailable: number;
  /** Writes that took effect and were not answered. */
  lost: number;
  /** Bytes of the bodies in both directions. */
  bytes: number;
}

/** Creates counters at zero. */
export function createPlatformCounters(): PlatformCounters {
  return {
    reads: 0,
    writes: 0,
    refused: 0,
    unavailable: 0,
    lost: 0,
    bytes: 0,
  };
}
