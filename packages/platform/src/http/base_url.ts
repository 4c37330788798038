/** Parsing of base URLs that may contain a path. */

/** A base URL, split into the two parts that undici expects. */
export interface BaseUrl {
  origin: string;
  /** Prepended to every request path; empty, or without a trailing slash. */
  pathPrefix: string;
}

/** Parses a base URL; throws a TypeError if the text is not a valid URL. */
export function parseBaseUrl(text: string): BaseUrl {
  const url = new URL(text);
  return { origin: url.origin, pathPrefix: url.pathname.replace(/\/+$/, "") };
}
