/** Where the change log lies in the platform's table and object store. */

import type { TableRow } from "@rattanvane/platform";
import type { EncodedChange } from "@rattanvane/protocol";

/** All rows of the log start with this. */
export const LOG_PREFIX = "configuration/log/";

/**
 * The row that names the newest version. Every append also writes it at the
 * version that it read, so that a writer that has been paused for longer than
 * the log keeps rows cannot insert an old number again.
 */
export const HEAD_KEY = "configuration/head";

/** All snapshots' names start with this. */
export const SNAPSHOT_PREFIX = "configuration/snapshot/";

/** All rows of questionnaires start with this. */
export const QUESTIONNAIRE_PREFIX = "configuration/questionnaire/";

const VERSION_DIGITS = 20;

/** The key of a change's row; keys sort as versions do. */
export function formatLogKey(version: number): string {
  return `${LOG_PREFIX}${formatVersion(version)}`;
}

/** The name of the snapshot at a version. */
export function formatSnapshotName(version: number): string {
  return `${SNAPSHOT_PREFIX}${formatVersion(version)}`;
}

/** The version in a snapshot's name; undefined for other names. */
export function parseSnapshotName(name: string): number | undefined {
  const digits = name.slice(SNAPSHOT_PREFIX.length);
  return /^\d+$/.test(digits) ? Number(digits) : undefined;
}

/** Turns a row of the log into the change that it holds. */
export function convertRow(row: TableRow): EncodedChange {
  return {
    version: Number(row.key.slice(LOG_PREFIX.length)),
    body: row.value,
  };
}

function formatVersion(version: number): string {
  return String(version).padStart(VERSION_DIGITS, "0");
}
