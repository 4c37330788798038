/** Reads documentation pages and sources, for tests that compare them. */

import { readdirSync, readFileSync } from "node:fs";

/** Lists the cells of all table rows that begin with a term in backticks. */
export function listPageRows(text: string): string[][] {
  return text.split("\n").filter((line) => line.startsWith("| `"))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
}

/** Reads the sources of a package, without tests and their fixtures. */
export function readSources(packageName: string): string[] {
  const folder = `packages/${packageName}/src`;
  return readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts") && !/_test\.ts$|testing/.test(file))
    .map((file) => readFileSync(`${folder}/${file}`, "utf8"));
}
