/** Keys that callers make up themselves. */

import type { OrganisationId } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { KeyError, KeyErrorKind } from "./key_error.ts";

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL = 16;

/** The start of the table rows of callers' keys. */
export const CALL_ROW_PREFIX = "once/";

/** How long keys are good for. */
export interface CallerKeyTimes {
  /** The age, by its own date, at which a dated key is refused. */
  keyWindowMilliseconds: number;
  /** How long the use of a key without a date is remembered. */
  undatedRetentionMilliseconds: number;
  /** The most by which clocks of VMs and callers differ from true time. */
  clockSkewMilliseconds: number;
  /** Refuses keys without a date. */
  requireDatedKeys: boolean;
}

/** A key that may be used now. */
export interface CallerKey {
  /** When its row may be removed, in wall time. */
  removableAt: number;
}

/**
 * Checks a key and works out when its row may go. A dated key's row outlives
 * the key on the slowest clock, so that a late repeat never finds it missing
 * while any VM still accepts it.
 */
export function validateCallerKey(
  key: string,
  options: { times: CallerKeyTimes; wallTime: number },
): Result<CallerKey, KeyError> {
  const { times, wallTime } = options;
  if (!KEY_PATTERN.test(key)) {
    return err(new KeyError(KeyErrorKind.Malformed, key));
  }
  const date = parseKeyDate(key);
  if (date === undefined) {
    return times.requireDatedKeys
      ? err(new KeyError(KeyErrorKind.Undated, key))
      : ok({ removableAt: wallTime + times.undatedRetentionMilliseconds });
  }
  if (date > wallTime + 2 * times.clockSkewMilliseconds) {
    return err(new KeyError(KeyErrorKind.Future, key));
  }
  const expiresAt = date + times.keyWindowMilliseconds;
  if (wallTime >= expiresAt) {
    return err(new KeyError(KeyErrorKind.Expired, key));
  }
  return ok({ removableAt: expiresAt + 2 * times.clockSkewMilliseconds });
}

/** Parses the date of a UUIDv7, in Unix milliseconds. */
export function parseKeyDate(key: string): number | undefined {
  const match = UUID_V7_PATTERN.exec(key);
  if (match === null) {
    return undefined;
  }
  return parseInt(`${match[1]}${match[2]}`, HEXADECIMAL);
}

/** Formats the name of the row that stands for a key. */
export function formatRowKey(
  organisation: OrganisationId,
  key: string,
): string {
  const digest = createHash("sha256").update(key).digest("hex");
  return `${CALL_ROW_PREFIX}${encodeURIComponent(organisation)}/${digest}`;
}
