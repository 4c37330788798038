/** Reads the list of known test failures, which do not fail CI. */

import { existsSync, readFileSync } from "node:fs";

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";
const ENTRY_PREFIX = "test: ";

/** Reads the full titles of tests with known failures; empty if there is no list. */
export function readKnownFailures(): Set<string> {
  const titles = new Set<string>();
  if (!existsSync(KNOWN_FAILURES_FILE)) {
    return titles;
  }
  for (const line of readFileSync(KNOWN_FAILURES_FILE, "utf8").split("\n")) {
    if (line.startsWith(ENTRY_PREFIX)) {
      titles.add(line.slice(ENTRY_PREFIX.length).trim());
    }
  }
  return titles;
}
