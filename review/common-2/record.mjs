/** Writes what a case sent, answered and ran, and ends what it started. */

import { appendFileSync, writeFileSync } from "node:fs";

const startedAt = Date.now();
let file = "";
const endings = [];

/** Names the file of the record and empties it. */
export function openRecord(path) {
  file = path;
  writeFileSync(file, "");
}

/** Writes one line: the milliseconds since the start, a text and fields. */
export function record(text, fields = {}) {
  const line = `${String(Date.now() - startedAt).padStart(6)} ${text} ${
    JSON.stringify(fields)
  }`;
  appendFileSync(file, `${line}\n`);
}

/** Calls back when the case ends, however it does. */
export function callAtEnd(callback) {
  endings.push(callback);
}

/** Ends the case with a result: 0 held, 1 broken, 2 could not run. */
export function finish(code, text) {
  record(`result ${code}: ${text}`);
  console.log(`result ${code}: ${text}`);
  process.exit(code);
}

process.on("exit", () => endings.forEach((end) => end()));
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.on(signal, () => process.exit(2));
}
process.on("uncaughtException", (error) => {
  console.error(error);
  record(`the case failed: ${error.stack}`);
  process.exit(2);
});

export function wait(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds; ends the case if it does not in time. */
export async function waitUntil(condition, what, milliseconds = 15_000) {
  const endsAt = Date.now() + milliseconds;
  while (!await condition()) {
    if (Date.now() > endsAt) {
      finish(2, `waited in vain for ${what}`);
    }
    await wait(20);
  }
}
