/** Reads the list of failures that CI passes over. */

import { existsSync, readFileSync } from "node:fs";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const ENTRY_PREFIX = "test: ";

/** Reads the full titles of the tests that are known to fail. */
export function readKnownRed(): Set<string> {
  const titles = new Set<string>();
  if (!existsSync(KNOWN_RED_FILE)) {
    return titles;
  }
  for (const line of readFileSync(KNOWN_RED_FILE, "utf8").split("\n")) {
    if (line.startsWith(ENTRY_PREFIX)) {
      titles.add(line.slice(ENTRY_PREFIX.length).trim());
    }
  }
  return titles;
}
