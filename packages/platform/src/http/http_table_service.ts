/** The platform's table over HTTP. */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { PlatformError, PlatformErrorKind } from "../platform_error.ts";
import {
  type RangeQuery,
  type RowWrite,
  type TableRow,
  TableService,
  type WrittenRow,
} from "../table_service.ts";
import { createStatusError, parseAnswer } from "./platform_answers.ts";
import { PlatformCallKind } from "./platform_call.ts";
import type { PlatformTransport } from "./platform_transport.ts";
import { readPage } from "./read_page.ts";

/** The most writes that the platform takes in one transaction. */
export const MAXIMUM_TRANSACTION_WRITES = 100;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

const ROW_SCHEMA = z.object({
  key: z.string(),
  version: z.int().positive(),
  value: z.string(),
});
const ROWS_SCHEMA = z.object({ rows: z.array(ROW_SCHEMA) });
const WRITTEN_SCHEMA = z.object({
  rows: z.array(
    z.object({ key: z.string(), version: z.int().nonnegative() }),
  ),
});
const CONFLICTS_SCHEMA = z.object({ conflicts: z.array(z.string()).min(1) });

/** Reads and writes rows through the platform's HTTP protocol. */
export class HttpTableService extends TableService {
  readonly #transport: PlatformTransport;

  constructor(transport: PlatformTransport) {
    super();
    this.#transport = transport;
  }

  override async read(
    key: string,
    signal: AbortSignal,
  ): Promise<Result<TableRow | undefined, PlatformError>> {
    const path = `/table/row?${new URLSearchParams({ key })}`;
    const answer = await this.#transport.run(
      { kind: PlatformCallKind.Read, method: "GET", path },
      signal,
    );
    if (answer.isErr()) {
      return err(answer.error);
    }
    if (answer.value.status === STATUS_NOT_FOUND) {
      return ok(undefined);
    }
    if (answer.value.status !== STATUS_OK) {
      return err(
        createStatusError(answer.value, PlatformErrorKind.BadResponse),
      );
    }
    const row = parseAnswer(answer.value, {
      schema: ROW_SCHEMA,
      errorKind: PlatformErrorKind.BadResponse,
    });
    return row.andThen((found) => checkRowKey(found, key));
  }

  override async readRange(
    query: RangeQuery,
    signal: AbortSignal,
  ): Promise<Result<TableRow[], PlatformError>> {
    const parameters = new URLSearchParams({
      prefix: query.prefix,
      limit: String(query.limit),
    });
    if (query.afterKey !== undefined) {
      parameters.set("after", query.afterKey);
    }
    const page = await readPage(
      this.#transport,
      { path: `/table/rows?${parameters}`, schema: ROWS_SCHEMA },
      signal,
    );
    return page.map(({ rows }) => rows);
  }

  override async write(
    writes: readonly RowWrite[],
    signal: AbortSignal,
  ): Promise<Result<WrittenRow[], PlatformError>> {
    if (writes.length > MAXIMUM_TRANSACTION_WRITES) {
      throw new RangeError(
        `A transaction of ${writes.length} writes is over the limit; split it`,
      );
    }
    const answer = await this.#transport.run({
      kind: PlatformCallKind.Write,
      method: "POST",
      path: "/table/transactions",
      body: JSON.stringify({ writes: writes.map(encodeWrite) }),
    }, signal);
    if (answer.isErr()) {
      return err(answer.error);
    }
    if (answer.value.status === STATUS_CONFLICT) {
      return parseAnswer(answer.value, {
        schema: CONFLICTS_SCHEMA,
        errorKind: PlatformErrorKind.OutcomeUnknown,
      }).andThen((found) => err(createConflict(found.conflicts)));
    }
    if (answer.value.status !== STATUS_OK) {
      return err(
        createStatusError(answer.value, PlatformErrorKind.OutcomeUnknown),
      );
    }
    return parseAnswer(answer.value, {
      schema: WRITTEN_SCHEMA,
      errorKind: PlatformErrorKind.OutcomeUnknown,
    }).andThen((written) => checkWrittenRows(written.rows, writes));
  }
}

function encodeWrite(write: RowWrite) {
  const version = "version" in write.condition
    ? { version: write.condition.version }
    : {};
  return {
    key: write.key,
    condition: write.condition.kind,
    ...version,
    value: write.value ?? null,
  };
}

function createConflict(conflicts: readonly string[]): PlatformError {
  return new PlatformError(
    PlatformErrorKind.Conflict,
    `The conditions of "${conflicts.join('", "')}" did not hold`,
    { conflicts },
  );
}

/** An answer about another row must not be taken for this one's. */
function checkRowKey(
  row: TableRow,
  key: string,
): Result<TableRow, PlatformError> {
  if (row.key === key) {
    return ok(row);
  }
  return err(
    new PlatformError(
      PlatformErrorKind.BadResponse,
      `The platform answered with row "${row.key}" instead of "${key}"`,
    ),
  );
}

function checkWrittenRows(
  rows: WrittenRow[],
  writes: readonly RowWrite[],
): Result<WrittenRow[], PlatformError> {
  const keys = new Set(rows.map((row) => row.key));
  const missing = writes.find((write) => !keys.has(write.key));
  if (missing === undefined) {
    return ok(rows);
  }
  return err(
    new PlatformError(
      PlatformErrorKind.OutcomeUnknown,
      `The platform's answer leaves out row "${missing.key}"`,
    ),
  );
}
