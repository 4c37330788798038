/** Read access to the versioned change log in the platform's table. */

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

const ROWS_PER_READ = 100;
/** Rows may be trimmed during a read, which then has to start again. */
const READ_ATTEMPTS = 3;

/** The head row: the newest log version and the row's version in the table. */
export interface LogHead {
  version: number;
  /** 0 if the row does not exist yet. */
  rowVersion: number;
}

/** The log contents after a reader's version. */
export interface LogContents {
  /** Set if rows after the reader's version have been trimmed. */
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

  /** Reads the head row. */
  async readHead(
    signal: AbortSignal,
  ): Promise<Result<LogHead, ConfigurationError>> {
    const row = await this.#table.read(HEAD_KEY, signal);
    return row.mapErr(convertPlatformError).map((found) => ({
      version: Number(found?.value ?? 0),
      rowVersion: found?.version ?? 0,
    }));
  }

  /** Reads the change at a version; undefined if there is none. */
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

  /** Reads up to `count` of the newest changes (at most 100), oldest first. */
  async readNewest(
    count: number,
    signal: AbortSignal,
  ): Promise<Result<Change[], ConfigurationError>> {
    const head = await this.readHead(signal);
    if (head.isErr()) {
      return err(head.error);
    }
    const limit = Math.min(count, ROWS_PER_READ);
    const after = Math.max(0, head.value.version - limit);
    const rows = await this.#table.readRange(
      { prefix: LOG_PREFIX, afterKey: formatLogKey(after), limit },
      signal,
    );
    return rows.mapErr(convertPlatformError)
      .andThen((found) => decodeChanges(found.map(convertRow)));
  }

  /** Reads the changes after `version`, with a snapshot if rows were trimmed. */
  async readAfter(
    version: number,
    signal: AbortSignal,
  ): Promise<Result<LogContents, ConfigurationError>> {
    for (let attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
      const changes = await this.#readRows(version, signal);
      if (changes.isErr()) {
        return err(changes.error);
      }
      if (isContiguous(version, changes.value)) {
        return ok({ snapshot: undefined, changes: changes.value });
      }
      const contents = await this.#readFromSnapshot(signal);
      if (contents.isErr() || contents.value !== undefined) {
        return contents as Result<LogContents, ConfigurationError>;
      }
    }
    return err(createGapError(version));
  }

  /** Loads the newest configuration, starting from a known one. */
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
      isContiguous(version, changes.value)
        ? { snapshot: snapshot.value, changes: changes.value }
        : undefined,
    );
  }

  /** Reads rows up to the end of the log or the first gap. */
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
        limit: ROWS_PER_READ,
      }, signal);
      if (rows.isErr()) {
        return err(convertPlatformError(rows.error));
      }
      changes.push(...rows.value.map(convertRow));
      const isLast = rows.value.length < ROWS_PER_READ;
      if (isLast || !isContiguous(version, changes)) {
        return ok(changes);
      }
    }
  }
}

/** Decodes changes in order; fails on the first that cannot be decoded. */
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

function isContiguous(
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
