/** Appends changes to the log; a change is accepted once its row is inserted. */

import { Buffer } from "node:buffer";
import {
  type Clock,
  computeBackoff,
  type RandomSource,
} from "@rattanvane/base";
import {
  type PlatformError,
  PlatformErrorKind,
  type RowWrite,
  type TableService,
  WriteConditionKind,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import { applyChange } from "./apply_change.ts";
import type { Change, Operation } from "./change.ts";
import { encodeChange } from "./change_codec.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import type { ConfigurationLog, LogHead } from "./configuration_log.ts";
import { decodeChanges } from "./configuration_log.ts";
import {
  createConflictError,
  createTooManyRowsError,
  createUnfinishedError,
} from "./writer_errors.ts";
import { formatLogKey, HEAD_KEY } from "./log_rows.ts";
import type { FleetConfiguration } from "./model.ts";
import { removeOldRows } from "./remove_old_rows.ts";

/** Limits a change to what fits into one message between VMs. */
export const MAXIMUM_CHANGE_BYTES = 128 * 1_024;

/** The maximum number of further rows in the transaction of a change. */
export const MAXIMUM_ATTACHED_ROWS = 98;

/** The number of changes between two snapshots. */
export const SNAPSHOT_INTERVAL_CHANGES = 200;

const WRITE_ATTEMPTS = 5;
const BACKOFF = { initialMilliseconds: 200, maximumMilliseconds: 3_000 };

/** Dependencies of a log writer. */
export interface LogWriterOptions {
  log: ConfigurationLog;
  table: TableService;
  clock: Clock;
  random: RandomSource;
  /** Creates a change id that is unique across all writers. */
  createId: () => string;
}

/** A request to append a change. */
export interface AppendRequest {
  author: string;
  operations: Operation[];
  /** The version that the operations are based on; any if undefined. */
  expectedVersion?: number | undefined;
  /** Further rows to write in the same transaction. */
  attachedRows?: readonly RowWrite[];
}

/** Validates changes and appends them to the log. */
export class LogWriter {
  readonly #options: LogWriterOptions;

  constructor(options: LogWriterOptions) {
    this.#options = options;
  }

  /**
   * Validates a change against the newest configuration and appends it. Fails
   * with a Conflict that lists the newer changes if another one came first.
   */
  async append(
    request: AppendRequest,
    signal: AbortSignal,
  ): Promise<Result<Change, ConfigurationError[]>> {
    const rows = request.attachedRows?.length ?? 0;
    if (rows > MAXIMUM_ATTACHED_ROWS) {
      return err([createTooManyRowsError(rows, MAXIMUM_ATTACHED_ROWS)]);
    }
    const start = await this.#readBase(signal);
    if (start.isErr()) {
      return err([start.error]);
    }
    const { head, configuration } = start.value;
    const expected = request.expectedVersion ?? configuration.version;
    if (expected !== configuration.version) {
      return err([await this.describeConflict(expected, signal)]);
    }
    const change = this.#createChange(request, configuration.version + 1);
    const next = applyChange(configuration, change).andThen((applied) =>
      checkSize(change).map(() => applied)
    );
    if (next.isErr()) {
      return err(next.error);
    }
    const accepted = await this.#insert(change, { head, request, signal });
    if (accepted.isErr()) {
      return err([accepted.error]);
    }
    await this.#trim(next.value, signal);
    return ok(change);
  }

  /** Builds the error for an outdated version; it lists the newer changes. */
  async describeConflict(
    expected: number,
    signal: AbortSignal,
  ): Promise<ConfigurationError> {
    const contents = await this.#options.log.readAfter(expected, signal);
    const changes = contents.andThen((found) => decodeChanges(found.changes));
    return createConflictError(expected, changes.unwrapOr([]));
  }

  /** Reads the head and the configuration at the same version. */
  async #readBase(
    signal: AbortSignal,
  ): Promise<
    Result<
      { head: LogHead; configuration: FleetConfiguration },
      ConfigurationError
    >
  > {
    const { log } = this.#options;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      const head = await log.readHead(signal);
      if (head.isErr()) {
        return err(head.error);
      }
      const configuration = await log.load(signal);
      if (configuration.isErr()) {
        return err(configuration.error);
      }
      if (configuration.value.version === head.value.version) {
        return ok({ head: head.value, configuration: configuration.value });
      }
    }
    return err(
      new ConfigurationError({
        kind: ConfigurationErrorKind.Conflict,
        problem: "Cannot read the configuration: it changes all the time",
        remedy: "try again",
      }),
    );
  }

  #createChange(request: AppendRequest, version: number): Change {
    return {
      version,
      id: this.#options.createId(),
      author: request.author,
      acceptedAt: this.#options.clock.wallTime(),
      operations: request.operations,
    };
  }

  /**
   * Inserts the row. An attempt with an unknown outcome is retried unchanged:
   * it either succeeds, or conflicts with the row and compares the change's id.
   */
  async #insert(
    change: Change,
    step: { head: LogHead; request: AppendRequest; signal: AbortSignal },
  ): Promise<Result<void, ConfigurationError>> {
    const { clock, random, table } = this.#options;
    const writes = buildWrites(change, step);
    let mayBeWritten = false;
    let lastError: PlatformError | undefined;
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        const delay = computeBackoff(attempt, { ...BACKOFF, random });
        await clock.sleep(delay, step.signal);
      }
      const written = await table.write(writes, step.signal);
      if (written.isOk()) {
        return ok(undefined);
      }
      lastError = written.error;
      if (lastError.kind === PlatformErrorKind.Conflict) {
        const settled = await this.#settleConflict(change, step.signal);
        if (settled !== undefined) {
          return settled;
        }
      } else {
        mayBeWritten ||= lastError.kind === PlatformErrorKind.OutcomeUnknown;
      }
    }
    return err(createUnfinishedError(change, { mayBeWritten, lastError }));
  }

  /** Finds out whose row caused a conflict; undefined if it is unreadable. */
  async #settleConflict(
    change: Change,
    signal: AbortSignal,
  ): Promise<Result<void, ConfigurationError> | undefined> {
    const { log } = this.#options;
    const row = await log.readChange(change.version, signal);
    if (row.isErr()) {
      return undefined;
    }
    if (row.value?.id === change.id) {
      return ok(undefined);
    }
    return err(await this.describeConflict(change.version - 1, signal));
  }

  /** Trims the log on a best-effort basis; the next append tries again. */
  async #trim(
    configuration: FleetConfiguration,
    signal: AbortSignal,
  ): Promise<void> {
    const { log, table } = this.#options;
    const versions = await log.snapshots.listVersions(signal);
    if (versions.isErr()) {
      return;
    }
    const age = configuration.version - (versions.value.at(-1) ?? 0);
    if (age >= SNAPSHOT_INTERVAL_CHANGES) {
      await removeOldRows(
        { configuration, snapshots: log.snapshots, table },
        signal,
      );
    }
  }
}

function buildWrites(
  change: Change,
  step: { head: LogHead; request: AppendRequest },
): RowWrite[] {
  const { rowVersion } = step.head;
  return [
    {
      key: formatLogKey(change.version),
      condition: { kind: WriteConditionKind.Absent },
      value: encodeChange(change).body,
    },
    {
      key: HEAD_KEY,
      condition: rowVersion === 0
        ? { kind: WriteConditionKind.Absent }
        : { kind: WriteConditionKind.AtVersion, version: rowVersion },
      value: String(change.version),
    },
    ...(step.request.attachedRows ?? []),
  ];
}

function checkSize(change: Change): Result<void, ConfigurationError[]> {
  const bytes = Buffer.byteLength(encodeChange(change).body);
  if (bytes <= MAXIMUM_CHANGE_BYTES) {
    return ok(undefined);
  }
  return err([
    new ConfigurationError({
      kind: ConfigurationErrorKind.TooLarge,
      problem: `Cannot accept a change of "${bytes}" bytes; ` +
        `at most ${MAXIMUM_CHANGE_BYTES} are accepted`,
      remedy: "split it into several changes",
    }),
  ]);
}
