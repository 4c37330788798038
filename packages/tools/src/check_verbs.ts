/** Lint: rejects function names that do not begin with a verb listed in VERBS_PAGE. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { listSourceFiles } from "./source_files.ts";

const VERBS_PAGE = "docs/naming.md";
const VERB_PATTERN = /^- `([a-z]+)`/gm;
const FUNCTION_PATTERN =
  /^\s*(?:export )?(?:async )?function\*? ([a-z][A-Za-z0-9]*)/;

function readVerbs(): Set<string> {
  const page = readFileSync(VERBS_PAGE, "utf8");
  const verbs = new Set<string>();
  for (const match of page.matchAll(VERB_PATTERN)) {
    verbs.add(match[1] as string);
  }
  return verbs;
}

function findFirstWord(name: string): string {
  return /^[a-z]+/.exec(name)?.[0] ?? name;
}

const verbs = readVerbs();
let failures = 0;
for (const file of listSourceFiles()) {
  const lines = readFileSync(file, "utf8").split("\n");
  lines.forEach((text, index) => {
    const name = FUNCTION_PATTERN.exec(text)?.[1];
    if (name === undefined || verbs.has(findFirstWord(name))) {
      return;
    }
    failures++;
    console.error(
      `${file}:${index + 1}: "${name}" does not begin with a listed verb; ` +
        `rename it or add the verb to ${VERBS_PAGE}`,
    );
  });
}
if (failures > 0) {
  process.exit(1);
}
console.log("Verb lint passed");
