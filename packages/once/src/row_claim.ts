/** Claims the row of a caller-supplied key before its call is sent. */

import {
  type PlatformError,
  PlatformErrorKind,
  type TableService,
  WriteConditionKind,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import { type CallRow, decodeCallRow, encodeCallRow } from "./call_row.ts";
import type { RowWriter } from "./row_writer.ts";

const MAXIMUM_WRITE_ATTEMPTS = 3;

/** A row with its version, as the condition of the next write. */
export interface VersionedRow {
  row: CallRow;
  version: number;
}

/** The outcome of an attempt to claim a row. */
export enum ClaimKind {
  /** This attempt owns the row. */
  Owned = "owned",
  /** Another attempt owns the row. */
  Taken = "taken",
  /** Not known; a pending write may still make this attempt the owner. */
  Failed = "failed",
}

/** The result of a claim. */
export type Claim =
  | { kind: ClaimKind.Owned; version: number }
  | { kind: ClaimKind.Taken; existing: VersionedRow }
  | { kind: ClaimKind.Failed; reason: string };

/** The row to write, and the row that it replaces. */
export interface ClaimRequest {
  row: CallRow;
  /** The version of the row of an attempt that did not run; undefined for none. */
  replacedVersion: number | undefined;
}

/** Dependencies of {@link RowClaims}. */
export interface RowClaimsOptions {
  table: TableService;
  writer: RowWriter;
}

/** Claims rows by conditional writes and resolves uncertain outcomes by reads. */
export class RowClaims {
  readonly #options: RowClaimsOptions;

  constructor(options: RowClaimsOptions) {
    this.#options = options;
  }

  /**
   * Writes the row on the condition that it is absent or still at the version of
   * an attempt that did not run. After a conflict or a lost answer the row is
   * read: the attempt that it names owns it.
   */
  async claim(
    key: string,
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<Claim> {
    let reason = "the row changed between each write and read";
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const written = await this.#write(key, request, signal);
      if (written.isOk()) {
        return { kind: ClaimKind.Owned, version: written.value };
      }
      const { error } = written;
      if (!isResolvedByRead(error)) {
        return { kind: ClaimKind.Failed, reason: error.message };
      }
      const found = await this.read(key, signal);
      if (found.isErr()) {
        return { kind: ClaimKind.Failed, reason: found.error.message };
      }
      const claim = convertToClaim(found.value, request);
      if (claim !== undefined) {
        return claim;
      }
      reason = error.message;
    }
    return { kind: ClaimKind.Failed, reason };
  }

  /** Reads a row; undefined when it does not exist or cannot be decoded. */
  async read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<VersionedRow | undefined, PlatformError>> {
    const found = await this.#options.table.read(key, signal);
    if (found.isErr()) {
      return err(found.error);
    }
    if (found.value === undefined) {
      return ok(undefined);
    }
    const row = decodeCallRow(found.value.value);
    const { version } = found.value;
    return ok(row === undefined ? undefined : { row, version });
  }

  async #write(
    key: string,
    request: ClaimRequest,
    signal: AbortSignal,
  ): Promise<Result<number, PlatformError>> {
    const { replacedVersion } = request;
    const condition = replacedVersion === undefined
      ? { kind: WriteConditionKind.Absent } as const
      : {
        kind: WriteConditionKind.AtVersion,
        version: replacedVersion,
      } as const;
    const value = encodeCallRow(request.row);
    const { writer } = this.#options;
    const written = await writer.write({ key, condition, value }, signal);
    return written.map((row) => row.version);
  }
}

function isResolvedByRead(error: PlatformError): boolean {
  return error.kind === PlatformErrorKind.Conflict ||
    error.kind === PlatformErrorKind.OutcomeUnknown;
}

/** Returns undefined when the row does not exist, so that it is written again. */
function convertToClaim(
  existing: VersionedRow | undefined,
  request: ClaimRequest,
): Claim | undefined {
  if (existing === undefined) {
    return undefined;
  }
  return existing.row.attempt === request.row.attempt
    ? { kind: ClaimKind.Owned, version: existing.version }
    : { kind: ClaimKind.Taken, existing };
}
