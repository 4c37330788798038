/** Fails when a name of the users' platform stands outside its folder. */

import { readFileSync } from "node:fs";
import { sep } from "node:path";
import process from "node:process";
import { ADAPTER_FOLDER, listSourceFiles } from "./source_files.ts";
import { findWireWord } from "./wire_words.ts";

let failures = 0;
for (const file of listSourceFiles()) {
  const [root, name] = file.split(sep);
  if (root === ADAPTER_FOLDER || name === "tools") {
    continue;
  }
  const lines = readFileSync(file, "utf8").split("\n");
  lines.forEach((text, index) => {
    const word = findWireWord(text);
    if (word !== undefined) {
      failures++;
      console.error(
        `${file}:${index + 1}: "${word}" is a name of the platform; ` +
          `translate it in ${ADAPTER_FOLDER}/`,
      );
    }
  });
}
if (failures > 0) {
  process.exit(1);
}
console.log("Wire word lint passed");
