/** Access to the lease rows of a zone in the platform's table. */

import {
  ChildAbort,
  type Clock,
  type Logger,
  runWithDeadline,
} from "@rattanvane/base";
import {
  type PlatformError,
  PlatformErrorKind,
  type RowWrite,
  type TableRow,
  type TableService,
  WriteConditionKind,
  type WrittenRow,
} from "@rattanvane/platform";
import { formatPool, type PoolId, type ZoneId } from "@rattanvane/protocol";
import type { Result } from "neverthrow";
import {
  formatClaimKey,
  formatLease,
  formatLeaseKey,
  formatLeasePrefix,
  type Lease,
  type LeaseRow,
  parseLease,
  parseLeaseKey,
} from "./lease_row.ts";
import type { OwnershipSettings } from "./settings.ts";

/** A lease takes up to three of the 100 row writes of a transaction. */
const MAXIMUM_WRITES_PER_TRANSACTION = 33;
const CLAIM_ROW_VERSION = 1;
const CLAIM_ROW_VALUE = "{}";
const MAXIMUM_ROWS_PER_READ = 1_000;

/** A conditional write of one lease. */
export interface LeaseWrite {
  pool: PoolId;
  lease: Lease;
  /** Version that the row must have; undefined when it must be absent. */
  version: number | undefined;
  /**
   * The lease that was read with that version; undefined for the one that this
   * process has written.
   */
  former?: Lease | undefined;
}

/** Outcome of a lease write. */
export enum LeaseWriteStatus {
  Written = "written",
  /** Another process has written the row. */
  Conflict = "conflict",
  /** Nothing was written. */
  Failed = "failed",
  /** The response was lost, and the row could not be read afterwards. */
  Unknown = "unknown",
}

/** The result of one write. */
export interface LeaseWriteResult {
  status: LeaseWriteStatus;
  /** New version of the row; 0 unless it was written. */
  version: number;
}

/** Results of several writes, by pool. */
export type LeaseWriteResults = ReadonlyMap<string, LeaseWriteResult>;

/** Dependencies of `LeaseTable`. */
export interface LeaseTableOptions {
  zone: ZoneId;
  table: TableService;
  clock: Clock;
  logger: Logger;
  settings: OwnershipSettings;
}

/**
 * Reads and writes the zone's leases; backs off after platform failures.
 *
 * A table that has come back from a copy gives versions out again, so a version
 * does not tell whose lease is overwritten. Each lease is therefore written
 * together with a row under the key of its unique claim, and overwritten on
 * condition that this row still exists.
 */
export class LeaseTable {
  readonly #options: LeaseTableOptions;
  /** The lease that this process last wrote for each pool. */
  readonly #written = new Map<string, { lease: Lease; version: number }>();
  #retryAt = 0;
  #wasAvailable = true;

  constructor(options: LeaseTableOptions) {
    this.#options = options;
  }

  /** Whether the platform may be called; false during the back-off. */
  isAvailable(): boolean {
    return this.#options.clock.now() >= this.#retryAt;
  }

  /** Reads the zone's leases by pool; undefined when the platform fails. */
  async read(signal: AbortSignal): Promise<Map<string, LeaseRow> | undefined> {
    const { table, zone } = this.#options;
    const query = {
      prefix: formatLeasePrefix(zone),
      limit: MAXIMUM_ROWS_PER_READ,
    };
    const result = await this.#callPlatform(
      (callSignal) => table.readRange(query, callSignal),
      signal,
    );
    if (result.isErr()) {
      return undefined;
    }
    const rows = new Map<string, LeaseRow>();
    for (const row of result.value) {
      const pool = { zone, service: parseLeaseKey(zone, row.key) };
      rows.set(formatPool(pool), { pool, ...this.#decodeRow(row) });
    }
    return rows;
  }

  /** Writes leases in as few transactions as possible. */
  async write(
    writes: readonly LeaseWrite[],
    signal: AbortSignal,
  ): Promise<LeaseWriteResults> {
    const results = new Map<string, LeaseWriteResult>();
    for (
      let start = 0;
      start < writes.length;
      start += MAXIMUM_WRITES_PER_TRANSACTION
    ) {
      const chunk = writes.slice(start, start + MAXIMUM_WRITES_PER_TRANSACTION);
      await this.#writeChunk({ writes: chunk, results }, signal);
    }
    return results;
  }

  async #writeChunk(
    chunk: {
      writes: readonly LeaseWrite[];
      results: Map<string, LeaseWriteResult>;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const { table } = this.#options;
    let remaining = chunk.writes;
    while (remaining.length > 0) {
      const rows = remaining.flatMap((write) => this.#buildRowWrites(write));
      const result = await this.#callPlatform(
        (callSignal) => table.write(rows, callSignal),
        signal,
      );
      if (result.isOk()) {
        addWritten(chunk.results, { writes: remaining, rows: result.value });
        this.#recordWritten(remaining, chunk.results);
        return;
      }
      if (result.error.kind === PlatformErrorKind.OutcomeUnknown) {
        await this.#resolveUnknownOutcome(
          { ...chunk, writes: remaining },
          signal,
        );
        return;
      }
      if (result.error.kind !== PlatformErrorKind.Conflict) {
        addStatus(chunk.results, remaining, LeaseWriteStatus.Failed);
        return;
      }
      // The other writes failed only because they were in the same transaction;
      // they are tried again without the conflicting ones.
      const conflictingKeys = new Set(result.error.conflicts);
      const conflicting = remaining.filter((write) =>
        this.#buildRowWrites(write).some(({ key }) => conflictingKeys.has(key))
      );
      addStatus(chunk.results, conflicting, LeaseWriteStatus.Conflict);
      remaining = remaining.filter((write) => !conflicting.includes(write));
      if (conflicting.length === 0) {
        addStatus(chunk.results, remaining, LeaseWriteStatus.Failed);
        return;
      }
    }
  }

  /** The lease that a write expects to overwrite, as far as it is known. */
  #findFormer({ pool, version, former }: LeaseWrite): Lease | undefined {
    const written = this.#written.get(formatPool(pool));
    return former ??
      (written?.version === version ? written?.lease : undefined);
  }

  #buildRowWrites(write: LeaseWrite): RowWrite[] {
    const { pool, lease, version } = write;
    const writes: RowWrite[] = [{
      key: formatLeaseKey(pool),
      condition: version === undefined
        ? { kind: WriteConditionKind.Absent }
        : { kind: WriteConditionKind.AtVersion, version },
      value: formatLease({ ...lease, hasClaimRow: true }),
    }, {
      key: formatClaimKey(pool, lease.claim),
      condition: { kind: WriteConditionKind.Absent },
      value: CLAIM_ROW_VALUE,
    }];
    const former = this.#findFormer(write);
    if (former?.hasClaimRow) {
      writes.push({
        key: formatClaimKey(pool, former.claim),
        condition: {
          kind: WriteConditionKind.AtVersion,
          version: CLAIM_ROW_VERSION,
        },
        value: undefined,
      });
    }
    return writes;
  }

  #recordWritten(
    writes: readonly LeaseWrite[],
    results: LeaseWriteResults,
  ): void {
    for (const { pool, lease } of writes) {
      const key = formatPool(pool);
      const version = results.get(key)?.version ?? 0;
      this.#written.set(key, {
        lease: { ...lease, hasClaimRow: true },
        version,
      });
    }
  }

  /** Reads the rows back to find out whether writes took effect. */
  async #resolveUnknownOutcome(
    chunk: {
      writes: readonly LeaseWrite[];
      results: Map<string, LeaseWriteResult>;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const rows = await this.read(signal);
    for (const write of chunk.writes) {
      const key = formatPool(write.pool);
      const result = judgeWrite(write, {
        rows,
        former: this.#findFormer(write),
      });
      chunk.results.set(key, result);
      if (result.status === LeaseWriteStatus.Written) {
        this.#recordWritten([write], chunk.results);
      }
    }
  }

  async #callPlatform<Value>(
    call: (signal: AbortSignal) => Promise<Result<Value, PlatformError>>,
    signal: AbortSignal,
  ): Promise<Result<Value, PlatformError>> {
    const { clock, settings } = this.#options;
    const child = new ChildAbort(signal);
    const result = await runWithDeadline(
      () => call(child.signal),
      {
        clock,
        milliseconds: settings.platformTimeoutMilliseconds,
        expire: () => child.abort(),
      },
      signal,
    );
    child.abort();
    this.#recordOutcome(result);
    return result;
  }

  #recordOutcome<Value>(result: Result<Value, PlatformError>): void {
    const { clock, logger, settings } = this.#options;
    const isAvailable = result.isOk() ||
      result.error.kind === PlatformErrorKind.Conflict ||
      result.error.kind === PlatformErrorKind.OutcomeUnknown;
    if (!isAvailable) {
      this.#retryAt = clock.now() + settings.platformBackOffMilliseconds;
    }
    if (isAvailable !== this.#wasAvailable) {
      this.#wasAvailable = isAvailable;
      logger.warn(
        isAvailable
          ? "platform is available again; resuming leases"
          : "platform is unavailable; continuing without leases",
      );
    }
  }

  /**
   * Decodes a row. A malformed one counts as a released lease, whose next write
   * is still conditional on the row's version.
   */
  #decodeRow(row: TableRow): { lease: Lease; version: number } {
    const lease = parseLease(row.value);
    if (lease === undefined) {
      this.#options.logger.error(
        "lease row is malformed; treating the lease as released",
        { key: row.key },
      );
    }
    const released = { holder: "", number: 0, claim: "", expiresAtWall: 0 };
    return { lease: lease ?? released, version: row.version };
  }
}

function judgeWrite(
  write: LeaseWrite,
  { rows, former }: {
    rows: ReadonlyMap<string, LeaseRow> | undefined;
    former: Lease | undefined;
  },
): LeaseWriteResult {
  if (rows === undefined) {
    return { status: LeaseWriteStatus.Unknown, version: 0 };
  }
  const row = rows.get(formatPool(write.pool));
  if (row?.lease.claim === write.lease.claim) {
    return { status: LeaseWriteStatus.Written, version: row.version };
  }
  const isUnchanged = row?.version === write.version &&
    (former === undefined || row?.lease.claim === former.claim);
  return {
    status: isUnchanged ? LeaseWriteStatus.Failed : LeaseWriteStatus.Conflict,
    version: 0,
  };
}

function addWritten(
  results: Map<string, LeaseWriteResult>,
  outcome: { writes: readonly LeaseWrite[]; rows: readonly WrittenRow[] },
): void {
  const versions = new Map(outcome.rows.map((row) => [row.key, row.version]));
  for (const write of outcome.writes) {
    results.set(formatPool(write.pool), {
      status: LeaseWriteStatus.Written,
      version: versions.get(formatLeaseKey(write.pool)) ?? 0,
    });
  }
}

function addStatus(
  results: Map<string, LeaseWriteResult>,
  writes: readonly LeaseWrite[],
  status: LeaseWriteStatus,
): void {
  for (const write of writes) {
    results.set(formatPool(write.pool), { status, version: 0 });
  }
}
