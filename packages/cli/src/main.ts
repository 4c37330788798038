/** The program `rattanvane`. */

import process from "node:process";
import { createProcessEnvironment } from "./process_environment.ts";
import { runCommandLine } from "./program.ts";

/** What a shell reports for a program that an interrupt has ended. */
const INTERRUPTED_EXIT_CODE = 130;
const ENDING_SIGNALS = ["SIGINT", "SIGTERM"] as const;

/** Aborts at the first signal; the second ends the process at once. */
function createEndingSignal(): AbortController {
  const ending = new AbortController();
  for (const name of ENDING_SIGNALS) {
    process.on(name, () => {
      if (ending.signal.aborted) {
        process.exit(INTERRUPTED_EXIT_CODE);
      }
      ending.abort();
    });
  }
  return ending;
}

async function main(): Promise<void> {
  const ending = createEndingSignal();
  const environment = createProcessEnvironment(ending.signal);
  process.exitCode = await runCommandLine(process.argv.slice(2), environment);
  // Closes connections that would keep the process alive.
  ending.abort();
}

await main();
