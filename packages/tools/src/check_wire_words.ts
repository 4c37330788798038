/** Lint: rejects names of the users' platform API outside the adapter folder. */

import { readFileSync } from "node:fs";
import { sep } from "node:path";
import process from "node:process";
import { ADAPTER_FOLDER, listSourceFiles } from "./source_files.ts";
import { findPlatformApiName } from "./wire_words.ts";

let failures = 0;
for (const file of listSourceFiles()) {
  const [root, name] = file.split(sep);
  if (root === ADAPTER_FOLDER || name === "tools") {
    continue;
  }
  const lines = readFileSync(file, "utf8").split("\n");
  lines.forEach((text, index) => {
    const apiName = findPlatformApiName(text);
    if (apiName !== undefined) {
      failures++;
      console.error(
        `${file}:${index + 1}: "${apiName}" is a platform API name; ` +
          `translate it in ${ADAPTER_FOLDER}/`,
      );
    }
  });
}
if (failures > 0) {
  process.exit(1);
}
console.log("Platform API name lint passed");
