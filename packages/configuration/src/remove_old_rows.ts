/** Keeps the log short. */

import { type TableService, WriteConditionKind } from "@rattanvane/platform";
import { formatLogKey, LOG_PREFIX } from "./log_rows.ts";
import type { FleetConfiguration } from "./model.ts";
import type { SnapshotArchive } from "./snapshot_archive.ts";

const ROWS_IN_A_TRANSACTION = 100;

/** What is trimmed. */
export interface RemoveOldRowsOptions {
  /** The newest configuration, for the snapshot. */
  configuration: FleetConfiguration;
  snapshots: SnapshotArchive;
  table: TableService;
}

/**
 * Writes a snapshot and deletes the rows that the second newest one makes
 * needless. It stops at the first failure; the next call goes on.
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
  const lastNeedless = formatLogKey(oldest.value);
  for (;;) {
    const rows = await table.readRange(
      { prefix: LOG_PREFIX, limit: ROWS_IN_A_TRANSACTION },
      signal,
    );
    if (rows.isErr()) {
      return;
    }
    const needless = rows.value.filter((row) => row.key <= lastNeedless);
    if (needless.length === 0) {
      return;
    }
    const deleted = await table.write(
      needless.map(({ key }) => ({
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
