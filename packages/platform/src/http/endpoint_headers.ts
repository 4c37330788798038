/** Filtering and conversion of the headers sent to and received from endpoints. */

import type { HttpHeader } from "../endpoint_client.ts";

/** Hop-by-hop headers; each side of the router sets its own. */
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

/** Removes hop-by-hop headers and those to be replaced. */
export function collectForwardedHeaders(
  headers: readonly HttpHeader[],
  replaced: readonly string[],
): HttpHeader[] {
  return headers.filter((header) => {
    const name = header.name.toLowerCase();
    return !CONNECTION_HEADERS.has(name) && !replaced.includes(name);
  });
}

/** Converts headers to the flat list that undici expects. */
export function convertToFlatHeaders(headers: readonly HttpHeader[]): string[] {
  return headers.flatMap((header) => [header.name, header.value]);
}

/** Converts the headers of a response to one entry per value. */
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

/** Returns the first value of a header; empty if it is absent. */
export function findHeader(
  headers: readonly HttpHeader[],
  name: string,
): string {
  return headers.find((header) => header.name === name)?.value ?? "";
}
