/** Reads and writes the leases of a zone at the platform. */

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
  formatLease,
  formatLeaseKey,
  formatLeasePrefix,
  type Lease,
  type LeaseRow,
  parseLease,
  parseLeaseKey,
} from "./lease_row.ts";
import type { OwnershipSettings } from "./settings.ts";

const MAXIMUM_WRITES = 100;
const MAXIMUM_ROWS = 1_000;

/** A lease to write. */
export interface LeaseWrite {
  pool: PoolId;
  lease: Lease;
  /** The version that the row must have; undefined when it must be absent. */
  version: number | undefined;
}

/** What became of a write. */
export enum LeaseWriteStatus {
  Written = "written",
  /** Somebody else has written the row. */
  Conflict = "conflict",
  /** Nothing was written. */
  Failed = "failed",
  /** The answer was lost, and the row could not be read. */
  Unknown = "unknown",
}

/** The result of one write. */
export interface LeaseWriteResult {
  status: LeaseWriteStatus;
  /** The row's new version; only when written. */
  version: number;
}

/** The results of several writes. */
export type LeaseWriteResults = ReadonlyMap<string, LeaseWriteResult>;

/** What access to the leases needs. */
export interface LeaseTableOptions {
  zone: ZoneId;
  table: TableService;
  clock: Clock;
  logger: Logger;
  settings: OwnershipSettings;
}

/** The zone's leases; a platform that fails is left alone for a while. */
export class LeaseTable {
  readonly #options: LeaseTableOptions;
  #retryAt = 0;
  #wasUp = true;

  constructor(options: LeaseTableOptions) {
    this.#options = options;
  }

  /** Whether a call is worth trying. */
  isUsable(): boolean {
    return this.#options.clock.now() >= this.#retryAt;
  }

  /** Reads all leases by pool; undefined when the platform fails. */
  async read(signal: AbortSignal): Promise<Map<string, LeaseRow> | undefined> {
    const { table, zone } = this.#options;
    const query = { prefix: formatLeasePrefix(zone), limit: MAXIMUM_ROWS };
    const result = await this.#call(
      (callSignal) => table.readRange(query, callSignal),
      signal,
    );
    if (result.isErr()) {
      return undefined;
    }
    const rows = new Map<string, LeaseRow>();
    for (const row of result.value) {
      const pool = { zone, service: parseLeaseKey(zone, row.key) };
      rows.set(formatPool(pool), { pool, ...this.#readRow(row) });
    }
    return rows;
  }

  /** Writes leases, all in as few transactions as can be. */
  async write(
    writes: readonly LeaseWrite[],
    signal: AbortSignal,
  ): Promise<LeaseWriteResults> {
    const results = new Map<string, LeaseWriteResult>();
    for (let start = 0; start < writes.length; start += MAXIMUM_WRITES) {
      const chunk = writes.slice(start, start + MAXIMUM_WRITES);
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
      const rows = remaining.map(toRowWrite);
      const result = await this.#call(
        (callSignal) => table.write(rows, callSignal),
        signal,
      );
      if (result.isOk()) {
        addWritten(chunk.results, { writes: remaining, rows: result.value });
        return;
      }
      if (result.error.kind === PlatformErrorKind.OutcomeUnknown) {
        await this.#resolve({ ...chunk, writes: remaining }, signal);
        return;
      }
      if (result.error.kind !== PlatformErrorKind.Conflict) {
        addStatus(chunk.results, remaining, LeaseWriteStatus.Failed);
        return;
      }
      // The rest of the transaction was held up by others' rows only.
      const conflicts = new Set(result.error.conflicts);
      const lost = remaining.filter((write) =>
        conflicts.has(formatLeaseKey(write.pool))
      );
      addStatus(chunk.results, lost, LeaseWriteStatus.Conflict);
      remaining = remaining.filter((write) => !lost.includes(write));
      if (lost.length === 0) {
        addStatus(chunk.results, remaining, LeaseWriteStatus.Failed);
        return;
      }
    }
  }

  /** Finds out whether writes whose answer was lost took effect. */
  async #resolve(
    chunk: {
      writes: readonly LeaseWrite[];
      results: Map<string, LeaseWriteResult>;
    },
    signal: AbortSignal,
  ): Promise<void> {
    const rows = await this.read(signal);
    for (const write of chunk.writes) {
      const key = formatPool(write.pool);
      chunk.results.set(key, judgeWrite(write, rows));
    }
  }

  async #call<Value>(
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
    this.#record(result);
    return result;
  }

  #record<Value>(result: Result<Value, PlatformError>): void {
    const { clock, logger, settings } = this.#options;
    const isUp = result.isOk() ||
      result.error.kind === PlatformErrorKind.Conflict ||
      result.error.kind === PlatformErrorKind.OutcomeUnknown;
    if (!isUp) {
      this.#retryAt = clock.now() + settings.platformRetryMilliseconds;
    }
    if (isUp !== this.#wasUp) {
      this.#wasUp = isUp;
      logger.warn(
        isUp
          ? "platform answers again; taking leases"
          : "platform does not answer; going on without leases",
      );
    }
  }

  /** A row that is no lease counts as released; its version still guards it. */
  #readRow(row: TableRow): { lease: Lease; version: number } {
    const lease = parseLease(row.value);
    if (lease === undefined) {
      this.#options.logger.error("lease row cannot be read; writing it anew", {
        key: row.key,
      });
    }
    const released = { holder: "", number: 0, claim: "", expiresAtWall: 0 };
    return { lease: lease ?? released, version: row.version };
  }
}

function toRowWrite(write: LeaseWrite): RowWrite {
  return {
    key: formatLeaseKey(write.pool),
    condition: write.version === undefined
      ? { kind: WriteConditionKind.Absent }
      : { kind: WriteConditionKind.AtVersion, version: write.version },
    value: formatLease(write.lease),
  };
}

function judgeWrite(
  write: LeaseWrite,
  rows: ReadonlyMap<string, LeaseRow> | undefined,
): LeaseWriteResult {
  if (rows === undefined) {
    return { status: LeaseWriteStatus.Unknown, version: 0 };
  }
  const row = rows.get(formatPool(write.pool));
  if (row?.lease.claim === write.lease.claim) {
    return { status: LeaseWriteStatus.Written, version: row.version };
  }
  return {
    status: row?.version === write.version
      ? LeaseWriteStatus.Failed
      : LeaseWriteStatus.Conflict,
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
