/** The numbered log of changes in the platform's table, as readers see it. */

import type { ObjectStore, TableService } from "@rattanvane/platform";
import type { EncodedChange } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { applyAcceptedChanges } from "./apply_change.ts";
import type { Change } from "./change.ts";
import { decodeChange } from "./change_codec.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import { convertPlatformError } from "./convert_platform_error.ts";
import { convertRow, formatLogKey, HEAD_KEY, LOG_PREFIX } from "./log_rows.ts";
import { createEmptyConfiguration, type FleetConfiguration } from "./model.ts";
import { SnapshotArchive } from "./snapshot_archive.ts";

const ROWS_IN_A_READ = 100;
/** How often a reader starts over when rows are trimmed under its hands. */
const READ_ATTEMPTS = 3;

/** The head row: the newest version and the row's own version in the table. */
export interface LogHead {
  version: number;
  /** 0 when the row is not there yet. */
  rowVersion: number;
}

/** What a reader at some version lacks. */
export interface LogContents {
  /** Set when rows after the reader's version have been trimmed. */
  snapshot: FleetConfiguration | undefined;
  /** The changes after the snapshot, or after the reader's version. */
  changes: EncodedChange[];
}

/** Reads the change log. */
export class ConfigurationLog {
  readonly snapshots: SnapshotArchive;
  readonly #table: TableService;

  constructor(table: TableService, objects: ObjectStore) {
    this.#table = table;
    this.snapshots = new SnapshotArchive(objects);
  }

  /** Reads the newest version's number. */
  async readHead(
    signal: AbortSignal,
  ): Promise<Result<LogHead, ConfigurationError>> {
    const row = await this.#table.read(HEAD_KEY, signal);
    return row.mapErr(convertPlatformError).map((found) => ({
      version: Number(found?.value ?? 0),
      rowVersion: found?.version ?? 0,
    }));
  }

  /** Reads the change at a version; undefined when there is none. */
  async readChange(
    version: number,
    signal: AbortSignal,
  ): Promise<Result<Change | undefined, ConfigurationError>> {
    const row = await this.#table.read(formatLogKey(version), signal);
    if (row.isErr()) {
      return err(convertPlatformError(row.error));
    }
    return row.value === undefined
      ? ok(undefined)
      : decodeChange(convertRow(row.value));
  }

  /** Reads the newest changes, the oldest of them first; at most 100. */
  async readNewest(
    count: number,
    signal: AbortSignal,
  ): Promise<Result<Change[], ConfigurationError>> {
    const head = await this.readHead(signal);
    if (head.isErr()) {
      return err(head.error);
    }
    const limit = Math.min(count, ROWS_IN_A_READ);
    const after = Math.max(0, head.value.version - limit);
    const rows = await this.#table.readRange(
      { prefix: LOG_PREFIX, afterKey: formatLogKey(after), limit },
      signal,
    );
    return rows.mapErr(convertPlatformError)
      .andThen((found) => decodeChanges(found.map(convertRow)));
  }

  /** Reads everything that a reader at `version` lacks. */
  async readAfter(
    version: number,
    signal: AbortSignal,
  ): Promise<Result<LogContents, ConfigurationError>> {
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
      const changes = await this.#readRows(version, signal);
      if (changes.isErr()) {
        return err(changes.error);
      }
      if (isConnected(version, changes.value)) {
        return ok({ snapshot: undefined, changes: changes.value });
      }
      const contents = await this.#readFromSnapshot(signal);
      if (contents.isErr() || contents.value !== undefined) {
        return contents as Result<LogContents, ConfigurationError>;
      }
    }
    return err(createGapError(version));
  }

  /** Reads the newest configuration, starting from one that is at hand. */
  async load(
    signal: AbortSignal,
    from: FleetConfiguration = createEmptyConfiguration(),
  ): Promise<Result<FleetConfiguration, ConfigurationError>> {
    const contents = await this.readAfter(from.version, signal);
    if (contents.isErr()) {
      return err(contents.error);
    }
    const base = contents.value.snapshot ?? from;
    return decodeChanges(contents.value.changes)
      .map((changes) => applyAcceptedChanges(base, changes));
  }

  async #readFromSnapshot(
    signal: AbortSignal,
  ): Promise<Result<LogContents | undefined, ConfigurationError>> {
    const snapshot = await this.snapshots.readNewest(signal);
    if (snapshot.isErr()) {
      return err(snapshot.error);
    }
    if (snapshot.value === undefined) {
      return ok(undefined);
    }
    const { version } = snapshot.value;
    const changes = await this.#readRows(version, signal);
    if (changes.isErr()) {
      return err(changes.error);
    }
    return ok(
      isConnected(version, changes.value)
        ? { snapshot: snapshot.value, changes: changes.value }
        : undefined,
    );
  }

  /** Reads rows to the end of the log, or up to a gap. */
  async #readRows(
    version: number,
    signal: AbortSignal,
  ): Promise<Result<EncodedChange[], ConfigurationError>> {
    const changes: EncodedChange[] = [];
    for (;;) {
      const last = changes.at(-1)?.version ?? version;
      const rows = await this.#table.readRange({
        prefix: LOG_PREFIX,
        afterKey: formatLogKey(last),
        limit: ROWS_IN_A_READ,
      }, signal);
      if (rows.isErr()) {
        return err(convertPlatformError(rows.error));
      }
      changes.push(...rows.value.map(convertRow));
      const isLast = rows.value.length < ROWS_IN_A_READ;
      if (isLast || !isConnected(version, changes)) {
        return ok(changes);
      }
    }
  }
}

/** Decodes changes in order; fails on the first that cannot be read. */
export function decodeChanges(
  encoded: readonly EncodedChange[],
): Result<Change[], ConfigurationError> {
  const changes: Change[] = [];
  for (const one of encoded) {
    const change = decodeChange(one);
    if (change.isErr()) {
      return err(change.error);
    }
    changes.push(change.value);
  }
  return ok(changes);
}

function isConnected(
  version: number,
  changes: readonly EncodedChange[],
): boolean {
  return changes.every((change, index) =>
    change.version === version + index + 1
  );
}

function createGapError(version: number): ConfigurationError {
  return new ConfigurationError({
    kind: ConfigurationErrorKind.Unreadable,
    problem: `Cannot find the changes after version "${version}" in the log`,
    remedy: "check the rows and snapshots named configuration/ on the platform",
  });
}
