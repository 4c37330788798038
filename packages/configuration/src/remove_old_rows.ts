/** Compacts the change log. */

import { type TableService, WriteConditionKind } from "@rattanvane/platform";
import { formatLogKey, LOG_PREFIX } from "./log_rows.ts";
import type { FleetConfiguration } from "./model.ts";
import type { SnapshotArchive } from "./snapshot_archive.ts";

const ROWS_PER_TRANSACTION = 100;

/** Inputs of log compaction. */
export interface RemoveOldRowsOptions {
  /** The newest configuration, for the snapshot. */
  configuration: FleetConfiguration;
  snapshots: SnapshotArchive;
  table: TableService;
}

/**
 * Writes a snapshot and deletes the rows that the second newest snapshot
 * covers. Stops at the first failure; the next call continues.
 */
export async function removeOldRows(
  options: RemoveOldRowsOptions,
  signal: AbortSignal,
): Promise<void> {
  const { configuration, snapshots, table } = options;
  const oldest = await snapshots.write(configuration, signal);
  if (oldest.isErr()) {
    return;
  }
  const lastObsoleteKey = formatLogKey(oldest.value);
  for (;;) {
    const rows = await table.readRange(
      { prefix: LOG_PREFIX, limit: ROWS_PER_TRANSACTION },
      signal,
    );
    if (rows.isErr()) {
      return;
    }
    const obsolete = rows.value.filter((row) => row.key <= lastObsoleteKey);
    if (obsolete.length === 0) {
      return;
    }
    const deleted = await table.write(
      obsolete.map(({ key }) => ({
        key,
        condition: { kind: WriteConditionKind.Always },
        value: undefined,
      })),
      signal,
    );
    if (deleted.isErr()) {
      return;
    }
  }
}
