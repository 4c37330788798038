/** Idempotency keys that callers generate themselves. */

import type { OrganisationId } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { KeyError, KeyErrorKind } from "./key_error.ts";

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEXADECIMAL_RADIX = 16;

/** The prefix of the table rows of caller-supplied keys. */
export const CALL_ROW_PREFIX = "once/";

/** Which caller-supplied keys are accepted, and for how long; in milliseconds. */
export interface CallerKeyPolicy {
  /** The age, by the date in the key, from which a dated key is refused. */
  keyWindowMilliseconds: number;
  /** How long the row of a key without a date is retained. */
  undatedRetentionMilliseconds: number;
  /** The largest assumed error of the clocks of VMs and callers. */
  clockSkewMilliseconds: number;
  /** Whether keys without a date are refused. */
  requireDatedKeys: boolean;
}

/** A key that has been accepted. */
export interface CallerKey {
  /** The wall time from which the key's row may be removed. */
  removableAt: number;
}

/**
 * Validates a key and computes when its row may be removed. The row of a dated
 * key is retained until the key has expired by the slowest clock, so that no VM
 * that still accepts the key finds the row missing when a retry arrives late.
 */
export function validateCallerKey(
  key: string,
  options: { policy: CallerKeyPolicy; wallTime: number },
): Result<CallerKey, KeyError> {
  const { policy, wallTime } = options;
  if (!KEY_PATTERN.test(key)) {
    return err(new KeyError(KeyErrorKind.Malformed, key));
  }
  const date = parseKeyDate(key);
  if (date === undefined) {
    return policy.requireDatedKeys
      ? err(new KeyError(KeyErrorKind.Undated, key))
      : ok({ removableAt: wallTime + policy.undatedRetentionMilliseconds });
  }
  if (date > wallTime + 2 * policy.clockSkewMilliseconds) {
    return err(new KeyError(KeyErrorKind.Future, key));
  }
  const expiresAt = date + policy.keyWindowMilliseconds;
  if (wallTime >= expiresAt) {
    return err(new KeyError(KeyErrorKind.Expired, key));
  }
  return ok({ removableAt: expiresAt + 2 * policy.clockSkewMilliseconds });
}

/** Parses the date of a UUIDv7 in Unix milliseconds; undefined for other keys. */
export function parseKeyDate(key: string): number | undefined {
  const match = UUID_V7_PATTERN.exec(key);
  if (match === null) {
    return undefined;
  }
  return parseInt(`${match[1]}${match[2]}`, HEXADECIMAL_RADIX);
}

/** Formats the table key of the row that records a key's call. */
export function formatRowKey(
  organisation: OrganisationId,
  key: string,
): string {
  const digest = createHash("sha256").update(key).digest("hex");
  return `${CALL_ROW_PREFIX}${encodeURIComponent(organisation)}/${digest}`;
}
