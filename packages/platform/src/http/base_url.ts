/** Base URLs that may hold a path. */

/** A base URL in the two parts that undici wants. */
export interface BaseUrl {
  origin: string;
  /** Goes before every path; empty or without a final slash. */
  pathPrefix: string;
}

/** Parses a base URL; throws a TypeError when it is none. */
export function parseBaseUrl(text: string): BaseUrl {
  const url = new URL(text);
  return { origin: url.origin, pathPrefix: url.pathname.replace(/\/+$/, "") };
}
