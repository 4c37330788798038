/** Which headers go to endpoints and come back. */

import type { HttpHeader } from "../endpoint_client.ts";

/** Headers of one connection only; each side of the router sets its own. */
const CONNECTION_HEADERS = new Set([
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Drops headers that belong to one connection, or that are replaced. */
export function collectForwardedHeaders(
  headers: readonly HttpHeader[],
  replaced: readonly string[],
): HttpHeader[] {
  return headers.filter((header) => {
    const name = header.name.toLowerCase();
    return !CONNECTION_HEADERS.has(name) && !replaced.includes(name);
  });
}

/** Converts headers to the flat list that undici takes. */
export function convertToFlatHeaders(headers: readonly HttpHeader[]): string[] {
  return headers.flatMap((header) => [header.name, header.value]);
}

/** Converts the headers of an answer, one entry a value. */
export function convertFromIncoming(
  headers: Record<string, string | string[] | undefined>,
): HttpHeader[] {
  const converted: HttpHeader[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ""];
    for (const single of values) {
      converted.push({ name: name.toLowerCase(), value: single });
    }
  }
  return converted;
}

/** The first value of a header; empty when there is none. */
export function findHeader(
  headers: readonly HttpHeader[],
  name: string,
): string {
  return headers.find((header) => header.name === name)?.value ?? "";
}
