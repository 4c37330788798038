/** HTTP calls of the object store. */

import type { Buffer } from "node:buffer";
import { type HttpExchange, HttpProblem } from "../common/http_exchange.ts";

/** Objects in memory. */
export type StoredObjects = Map<string, Buffer>;

/** Answers a read of an object or of the names. */
export function handleObjectRead(
  objects: StoredObjects,
  exchange: HttpExchange,
): void {
  const name = exchange.segments[1];
  if (name === undefined) {
    const prefix = exchange.url.searchParams.get("prefix") ?? "";
    const names = [...objects.keys()].filter((each) => each.startsWith(prefix));
    exchange.sendJson(200, { names: names.sort() });
    return;
  }
  const content = objects.get(name);
  if (content === undefined) {
    throw new HttpProblem(404, `There is no object "${name}"`);
  }
  exchange.sendBytes(200, content, {
    "content-type": "application/octet-stream",
  });
}

/** Writes or deletes an object; returns without an answer. */
export async function applyObjectWrite(
  objects: StoredObjects,
  exchange: HttpExchange,
): Promise<void> {
  const name = exchange.segments[1];
  if (name === undefined || name === "") {
    throw new HttpProblem(400, "The path must name an object");
  }
  if (exchange.method === "DELETE") {
    objects.delete(name);
    return;
  }
  objects.set(name, await exchange.readBody());
}
