/** Making the row of a caller's key one's own before anything is sent. */

import {
  type PlatformError,
  PlatformErrorKind,
  type TableService,
  WriteConditionKind,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import { type CallRow, decodeCallRow, encodeCallRow } from "./call_row.ts";
import type { RowWriter } from "./row_writer.ts";

const MOST_ROUNDS = 3;

/** A row as it was read, with the version to write against. */
export interface ReadRow {
  row: CallRow;
  version: number;
}

/** What came of trying to take a row. */
export enum ClaimKind {
  Owned = "owned",
  /** Another attempt has the row. */
  Taken = "taken",
  /** Not known; the row may become this attempt's later. */
  Failed = "failed",
}

/** The result of a claim. */
export type Claim =
  | { kind: ClaimKind.Owned; version: number }
  | { kind: ClaimKind.Taken; read: ReadRow }
  | { kind: ClaimKind.Failed; reason: string };

/** The row that a claim wants to write. */
export interface ClaimTarget {
  row: CallRow;
  /** The version of an attempt that did not run; undefined: no row. */
  replacedVersion: number | undefined;
}

/** What a claim works with. */
export interface RowClaimsOptions {
  table: TableService;
  writer: RowWriter;
}

/** Takes rows by conditional writes, and reads what became of them. */
export class RowClaims {
  readonly #options: RowClaimsOptions;

  constructor(options: RowClaimsOptions) {
    this.#options = options;
  }

  /**
   * Writes the row if it is absent, or at the version of an attempt that did
   * not run. A lost answer is resolved by reading the row: whoever's attempt
   * it names is the owner.
   */
  async claim(
    key: string,
    target: ClaimTarget,
    signal: AbortSignal,
  ): Promise<Claim> {
    let reason = "the row changes faster than it can be read";
    for (let round = 0; round < MOST_ROUNDS; round++) {
      const written = await this.#write(key, target, signal);
      if (written.isOk()) {
        return { kind: ClaimKind.Owned, version: written.value };
      }
      const { error } = written;
      if (!isToBeRead(error)) {
        return { kind: ClaimKind.Failed, reason: error.message };
      }
      const found = await this.read(key, signal);
      if (found.isErr()) {
        return { kind: ClaimKind.Failed, reason: found.error.message };
      }
      const claim = judgeRow(found.value, target);
      if (claim !== undefined) {
        return claim;
      }
      reason = error.message;
    }
    return { kind: ClaimKind.Failed, reason };
  }

  /** Reads a row; undefined when there is none or it is not readable. */
  async read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<ReadRow | undefined, PlatformError>> {
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
    target: ClaimTarget,
    signal: AbortSignal,
  ): Promise<Result<number, PlatformError>> {
    const { replacedVersion } = target;
    const condition = replacedVersion === undefined
      ? { kind: WriteConditionKind.Absent } as const
      : {
        kind: WriteConditionKind.AtVersion,
        version: replacedVersion,
      } as const;
    const value = encodeCallRow(target.row);
    const { writer } = this.#options;
    const written = await writer.write({ key, condition, value }, signal);
    return written.map((row) => row.version);
  }
}

function isToBeRead(error: PlatformError): boolean {
  return error.kind === PlatformErrorKind.Conflict ||
    error.kind === PlatformErrorKind.OutcomeUnknown;
}

/** Undefined when there is no row yet, so that it may be written again. */
function judgeRow(
  read: ReadRow | undefined,
  target: ClaimTarget,
): Claim | undefined {
  if (read === undefined) {
    return undefined;
  }
  return read.row.attempt === target.row.attempt
    ? { kind: ClaimKind.Owned, version: read.version }
    : { kind: ClaimKind.Taken, read };
}
