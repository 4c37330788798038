/** What the plain stand-in's calls do and answer. */

import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";
import { readJsonFields } from "../common/json_fields.ts";
import type { PlainCounters } from "./plain_counters.ts";

const STOCK_RANGE = 1000;
const HASH_MULTIPLIER = 31;

/** A call that has been read and can be run once. */
export interface PlainCall {
  /** Whether it must not be repeated. */
  runsJob: boolean;
  /** Takes effect and returns the answer's body. */
  run: (counters: PlainCounters) => object;
}

/** Reads a call; throws an HttpProblem when there is no such call. */
export async function readPlainCall(
  exchange: HttpExchange,
): Promise<PlainCall> {
  const [name, subject = ""] = exchange.segments;
  switch (`${exchange.method} ${name}`) {
    case "POST print":
      return createJob(await readJob(exchange), "printed");
    case "POST material-issue":
      return createJob(await readJob(exchange), "issued");
    case "GET status":
      return createLookup((counters) => {
        const runs = counters.countRuns(subject);
        return { job: subject, status: runs > 0 ? "done" : "unknown", runs };
      });
    case "GET stock":
      return createLookup(() => ({
        item: subject,
        quantity: computeStock(subject),
      }));
    default:
      throw new HttpProblem(404, `There is no "${exchange.url.pathname}"`);
  }
}

/** Computes the stock of an item from its name. */
export function computeStock(item: string): number {
  let hash = 0;
  for (const character of item) {
    hash = (hash * HASH_MULTIPLIER + (character.codePointAt(0) ?? 0)) >>> 0;
  }
  return hash % STOCK_RANGE;
}

async function readJob(exchange: HttpExchange): Promise<string> {
  const fields = await readJsonFields(exchange);
  return fields.string("job");
}

function createJob(job: string, status: string): PlainCall {
  return {
    runsJob: true,
    run: (counters) => ({ job, status, run: counters.addRun(job) }),
  };
}

function createLookup(run: PlainCall["run"]): PlainCall {
  return { runsJob: false, run };
}
