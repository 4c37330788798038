/**
 * Runs the tests of all packages, or those whose title contains the first
 * argument, and prints a summary. Exits with 1 if no test passes, a test is
 * skipped, a test fails that KNOWN-RED.txt does not list or, in an unfiltered run,
 * a listed test was not run.
 */

import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import Mocha from "mocha";
import { readKnownFailures } from "./known_red.ts";
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

/** Whether the source still exists; excludes stale compiled tests. */
function hasSource(compiled: string): boolean {
  const source = compiled.replace(/\/dist\//, "/src/").replace(/\.js$/, ".ts");
  return existsSync(source);
}

interface TestResults {
  passed: Set<string>;
  failed: Set<string>;
  pending: Set<string>;
}

async function runMocha(mocha: Mocha): Promise<TestResults> {
  const results: TestResults = {
    passed: new Set(),
    failed: new Set(),
    pending: new Set(),
  };
  await mocha.loadFilesAsync();
  await new Promise<void>((resolve) => {
    const runner = mocha.run(() => resolve());
    runner.on("pass", (test) => results.passed.add(test.fullTitle()));
    runner.on("fail", (test) => results.failed.add(test.fullTitle()));
    runner.on("pending", (test) => results.pending.add(test.fullTitle()));
  });
  return results;
}

function judgeResults(results: TestResults, isFiltered: boolean): boolean {
  const knownFailures = readKnownFailures();
  let isAcceptable = results.pending.size === 0;
  for (const title of results.failed) {
    if (knownFailures.has(title)) {
      console.log(`Known red: ${title}`);
    } else {
      console.log(`Failed: ${title}`);
      isAcceptable = false;
    }
  }
  for (const title of knownFailures) {
    if (results.passed.has(title)) {
      console.log(`Listed in KNOWN-RED.txt, but passed: ${title}`);
    } else if (!results.failed.has(title) && !isFiltered) {
      console.log(`Listed in KNOWN-RED.txt, but not run: ${title}`);
      isAcceptable = false;
    }
  }
  return isAcceptable && results.passed.size > 0;
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
  const results = await runMocha(mocha);
  const isAcceptable = judgeResults(results, filter !== undefined);
  console.log(
    `${results.passed.size} passed, ${results.failed.size} failed, ` +
      `${results.pending.size} skipped`,
  );
  process.exit(isAcceptable ? 0 : 1);
}

await main();
