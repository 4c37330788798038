/** Durations and sizes that bound keyed calls. */

import type { CallerKeyPolicy } from "./caller_key.ts";

const SECOND_MILLISECONDS = 1_000;
const MINUTE_MILLISECONDS = 60 * SECOND_MILLISECONDS;
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS;
const DAY_MILLISECONDS = 24 * HOUR_MILLISECONDS;
const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** The limits of keyed calls; durations in milliseconds, sizes in bytes. */
export interface OnceLimits extends CallerKeyPolicy {
  /** How long after its issue a key may start a call. */
  issuedKeyLifetimeMilliseconds: number;
  /** How long results are stored, in memory and in the table. */
  resultRetentionMilliseconds: number;
  /** The total size of cached results above which the oldest are evicted. */
  resultLimitBytes: number;
  /** The maximum number of calls that are running or registered on a VM. */
  callLimit: number;
  /** The largest encoded result that is stored in its row. */
  rowLimitBytes: number;
  /** The largest encoded result that is stored in the object store. */
  objectLimitBytes: number;
  /** How long a retry polls the row of a call that another VM runs. */
  pollMilliseconds: number;
  /** The maximum time from validating a key to starting its attempt. */
  startLimitMilliseconds: number;
}

/** The limits that apply where the settings state none. */
export const DEFAULT_ONCE_LIMITS: OnceLimits = {
  keyWindowMilliseconds: DAY_MILLISECONDS,
  undatedRetentionMilliseconds: 7 * DAY_MILLISECONDS,
  clockSkewMilliseconds: 5 * MINUTE_MILLISECONDS,
  requireDatedKeys: false,
  issuedKeyLifetimeMilliseconds: 10 * MINUTE_MILLISECONDS,
  resultRetentionMilliseconds: HOUR_MILLISECONDS,
  resultLimitBytes: 16 * MEBIBYTE,
  callLimit: 20_000,
  rowLimitBytes: 4 * KIBIBYTE,
  objectLimitBytes: MEBIBYTE,
  pollMilliseconds: 3 * SECOND_MILLISECONDS,
  startLimitMilliseconds: MINUTE_MILLISECONDS,
};
