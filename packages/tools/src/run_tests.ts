/**
 * Runs the tests of all packages, or those whose title holds the first
 * argument, and closes with a line of counts. Fails on any failure that
 * KNOWN-RED.txt does not list, and on a listed test that is missing.
 */

import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import Mocha from "mocha";
import { readKnownRed } from "./known_red.ts";
import { listPackageFolders } from "./source_files.ts";

const TEST_TIMEOUT_MILLISECONDS = 60_000;

function listCompiledTests(): string[] {
  const files: string[] = [];
  for (const packageFolder of listPackageFolders()) {
    const folder = join(packageFolder, "dist");
    if (!existsSync(folder)) {
      continue;
    }
    for (const file of readdirSync(folder, { recursive: true })) {
      const path = join(folder, String(file));
      if (path.endsWith("_test.js")) {
        files.push(path);
      }
    }
  }
  return files.sort();
}

/** Drops compiled tests whose source is gone. */
function hasSource(compiled: string): boolean {
  const source = compiled.replace(/\/dist\//, "/src/").replace(/\.js$/, ".ts");
  return existsSync(source);
}

interface Tally {
  passed: Set<string>;
  failed: Set<string>;
  pending: Set<string>;
}

async function runMocha(mocha: Mocha): Promise<Tally> {
  const tally: Tally = {
    passed: new Set(),
    failed: new Set(),
    pending: new Set(),
  };
  await mocha.loadFilesAsync();
  await new Promise<void>((resolve) => {
    const runner = mocha.run(() => resolve());
    runner.on("pass", (test) => tally.passed.add(test.fullTitle()));
    runner.on("fail", (test) => tally.failed.add(test.fullTitle()));
    runner.on("pending", (test) => tally.pending.add(test.fullTitle()));
  });
  return tally;
}

function judge(tally: Tally, filtered: boolean): boolean {
  const knownRed = readKnownRed();
  let acceptable = tally.pending.size === 0;
  for (const title of tally.failed) {
    if (knownRed.has(title)) {
      console.log(`Known red: ${title}`);
    } else {
      console.log(`Failed: ${title}`);
      acceptable = false;
    }
  }
  for (const title of knownRed) {
    if (tally.passed.has(title)) {
      console.log(`Listed in KNOWN-RED.txt, but passed: ${title}`);
    } else if (!tally.failed.has(title) && !filtered) {
      console.log(`Listed in KNOWN-RED.txt, but not run: ${title}`);
      acceptable = false;
    }
  }
  return acceptable && tally.passed.size > 0;
}

async function main(): Promise<void> {
  const filter = process.argv[2];
  const mocha = new Mocha({
    ui: "bdd",
    reporter: "dot",
    timeout: TEST_TIMEOUT_MILLISECONDS,
    ...(filter === undefined ? {} : { fgrep: filter }),
  });
  for (const file of listCompiledTests().filter(hasSource)) {
    mocha.addFile(file);
  }
  const tally = await runMocha(mocha);
  const acceptable = judge(tally, filter !== undefined);
  console.log(
    `${tally.passed.size} passed, ${tally.failed.size} failed, ` +
      `${tally.pending.size} skipped`,
  );
  process.exit(acceptable ? 0 : 1);
}

await main();
