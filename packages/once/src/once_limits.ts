/** Times and sizes of keyed calls. */

import type { CallerKeyTimes } from "./caller_key.ts";

const SECOND = 1_000;
const MINUTE = 60 * SECOND;
const HOUR = 60 * MINUTE;
const DAY = 24 * HOUR;
const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** The bounds of keyed calls; all times in milliseconds. */
export interface OnceLimits extends CallerKeyTimes {
  /** How long a call may be started with an issued key. */
  issuedKeyLifetimeMilliseconds: number;
  /** How long results are kept, in memory and in the table. */
  resultRetentionMilliseconds: number;
  /** The most memory that kept results take. */
  resultLimitBytes: number;
  /** The most calls that are running or remembered on a VM. */
  callLimit: number;
  rowLimitBytes: number;
  objectLimitBytes: number;
  pollMilliseconds: number;
  startLimitMilliseconds: number;
}

/** The bounds that are used where the settings name none. */
export const DEFAULT_ONCE_LIMITS: OnceLimits = {
  keyWindowMilliseconds: DAY,
  undatedRetentionMilliseconds: 7 * DAY,
  clockSkewMilliseconds: 5 * MINUTE,
  requireDatedKeys: false,
  issuedKeyLifetimeMilliseconds: 10 * MINUTE,
  resultRetentionMilliseconds: HOUR,
  resultLimitBytes: 16 * MEBIBYTE,
  callLimit: 20_000,
  rowLimitBytes: 4 * KIBIBYTE,
  objectLimitBytes: MEBIBYTE,
  pollMilliseconds: 3 * SECOND,
  startLimitMilliseconds: MINUTE,
};
