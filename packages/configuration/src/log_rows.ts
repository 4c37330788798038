/** Key layout of the change log in the platform's table and object store. */

import type { TableRow } from "@rattanvane/platform";
import type { EncodedChange } from "@rattanvane/protocol";

/** The key prefix of all log rows. */
export const LOG_PREFIX = "configuration/log/";

/**
 * The key of the row that holds the newest version. Each append also writes
 * this row, on condition that its row version is unchanged. Otherwise a writer
 * that was paused for longer than the log's retention could insert an old
 * version again.
 */
export const HEAD_KEY = "configuration/head";

/** The name prefix of all snapshots. */
export const SNAPSHOT_PREFIX = "configuration/snapshot/";

/** The key prefix of all questionnaire rows. */
export const QUESTIONNAIRE_PREFIX = "configuration/questionnaire/";

const VERSION_DIGITS = 20;

/** Formats the key of a change's row; keys sort in version order. */
export function formatLogKey(version: number): string {
  return `${LOG_PREFIX}${formatVersion(version)}`;
}

/** Formats the name of the snapshot at a version. */
export function formatSnapshotName(version: number): string {
  return `${SNAPSHOT_PREFIX}${formatVersion(version)}`;
}

/** Parses the version from a snapshot's name; undefined for other names. */
export function parseSnapshotName(name: string): number | undefined {
  const digits = name.slice(SNAPSHOT_PREFIX.length);
  return /^\d+$/.test(digits) ? Number(digits) : undefined;
}

/** Converts a log row to the encoded change that it holds. */
export function convertRow(row: TableRow): EncodedChange {
  return {
    version: Number(row.key.slice(LOG_PREFIX.length)),
    body: row.value,
  };
}

function formatVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, "0");
}
