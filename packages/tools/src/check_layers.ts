/** Lint: rejects imports of packages in the same layer or a higher one. */

import { readFileSync } from "node:fs";
import { sep } from "node:path";
import process from "node:process";
import { ADAPTER_PACKAGE, LAYERS, TEST_ONLY_PACKAGES } from "./layers.ts";
import { ADAPTER_FOLDER, listSourceFiles } from "./source_files.ts";

const IMPORT_PATTERN = /from "(@rattanvane\/([a-z-]+)[^"]*|rattanvane)"/;

interface Violation {
  file: string;
  line: number;
  message: string;
}

function findLayer(packageName: string): number {
  if (packageName === ADAPTER_PACKAGE) {
    return LAYERS.length;
  }
  return LAYERS.findIndex((layer) => layer.includes(packageName));
}

function checkFile(file: string): Violation[] {
  const violations: Violation[] = [];
  const [root, name] = file.split(sep);
  const importer = root === ADAPTER_FOLDER ? ADAPTER_PACKAGE : name ?? "";
  const lines = readFileSync(file, "utf8").split("\n");
  lines.forEach((text, index) => {
    const message = checkImport(importer, text);
    if (message !== undefined) {
      violations.push({ file, line: index + 1, message });
    }
  });
  return violations;
}

function checkImport(importer: string, text: string): string | undefined {
  const match = IMPORT_PATTERN.exec(text);
  if (match === null) {
    return undefined;
  }
  const imported = match[2] ?? "cli";
  if (findLayer(importer) < 0 || findLayer(imported) < 0) {
    return `"${importer}" or "${imported}" is not assigned to a layer; add it to LAYERS`;
  }
  if (TEST_ONLY_PACKAGES.has(imported) && !TEST_ONLY_PACKAGES.has(importer)) {
    return `"${importer}" imports the test-only package "${imported}"; move the code`;
  }
  if (findLayer(imported) >= findLayer(importer)) {
    return `"${importer}" imports "${imported}", which is not in a lower layer; ` +
      "move the shared code to a package in a lower layer";
  }
  return undefined;
}

const violations = listSourceFiles().flatMap(checkFile);
for (const violation of violations) {
  console.error(`${violation.file}:${violation.line}: ${violation.message}`);
}
if (violations.length > 0) {
  process.exit(1);
}
console.log("Layer lint passed");
