/** HTTP calls of the table service. */

import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";
import { type JsonFields, readJsonFields } from "../common/json_fields.ts";
import { type RowChange, RowCondition, type RowTable } from "./row_table.ts";

const MAXIMUM_WRITES = 100;
const DEFAULT_RANGE_LIMIT = 1000;

/** An answer that has not been sent yet. */
export interface PreparedAnswer {
  status: number;
  body: unknown;
}

/** Answers a read of rows. */
export function handleTableRead(
  table: RowTable,
  exchange: HttpExchange,
): PreparedAnswer {
  const query = exchange.url.searchParams;
  if (exchange.url.pathname === "/table/row") {
    const row = table.read(query.get("key") ?? "");
    return row === undefined
      ? { status: 404, body: { error: { message: "There is no such row" } } }
      : { status: 200, body: row };
  }
  const rows = table.list({
    prefix: query.get("prefix") ?? "",
    after: query.get("after") ?? "",
    limit: Number(query.get("limit") ?? DEFAULT_RANGE_LIMIT),
  });
  return { status: 200, body: { rows } };
}

/** Parses a transaction; throws an HttpProblem when it is malformed. */
export async function readTransaction(
  exchange: HttpExchange,
): Promise<RowChange[]> {
  const fields = await readJsonFields(exchange);
  const changes = fields.objects("writes").map(parseChange);
  const keys = new Set(changes.map((change) => change.key));
  if (changes.length > MAXIMUM_WRITES || keys.size < changes.length) {
    throw new HttpProblem(
      400,
      `A transaction holds at most ${MAXIMUM_WRITES} writes of different keys`,
    );
  }
  return changes;
}

/** Applies a transaction and prepares its answer. */
export function applyTransaction(
  table: RowTable,
  changes: readonly RowChange[],
): PreparedAnswer {
  const outcome = table.apply(changes);
  return outcome.conflicts.length > 0
    ? { status: 409, body: { conflicts: outcome.conflicts } }
    : { status: 200, body: { rows: outcome.rows } };
}

function parseChange(fields: JsonFields): RowChange {
  const condition = fields.string("condition") as RowCondition;
  if (!Object.values(RowCondition).includes(condition)) {
    throw new HttpProblem(400, `The condition "${condition}" is not known`);
  }
  const atVersion = condition === RowCondition.AtVersion;
  return {
    key: fields.string("key"),
    condition,
    version: atVersion ? fields.number("version") : 0,
    value: fields.get("value") === null ? null : fields.string("value"),
  };
}
