/** The command that runs the plain service stand-in. */

import type { Command } from "commander";
import { createLogger, SystemClock } from "@rattanvane/base";
import { PlainServer } from "../plain/plain_server.ts";
import {
  addCommonOptions,
  type CommonOptions,
  parseNumber,
} from "./common_options.ts";
import { createInstanceName, runProgram } from "./run_program.ts";

const DEFAULT_SLOTS = 16;
const DEFAULT_CALL_MILLISECONDS = 10;
const DEFAULT_RESTART_MILLISECONDS = 500;
const DEFAULT_LOAD_LAG_MILLISECONDS = 200;

interface PlainCommandOptions extends CommonOptions {
  slots: number;
  callMs: number;
  restartMs: number;
  loadLagMs: number;
}

/** Registers `plain`. */
export function registerPlainCommand(program: Command): void {
  addCommonOptions(
    program
      .command("plain")
      .description(
        "Test support: print jobs, material issues, status and stock",
      ),
  )
    .option("--slots <n>", "calls at once", parseNumber, DEFAULT_SLOTS)
    .option(
      "--call-ms <ms>",
      "time that a call runs",
      parseNumber,
      DEFAULT_CALL_MILLISECONDS,
    )
    .option(
      "--restart-ms <ms>",
      "how long it refuses connections after a crash",
      parseNumber,
      DEFAULT_RESTART_MILLISECONDS,
    )
    .option(
      "--load-lag-ms <ms>",
      "age of its load report",
      parseNumber,
      DEFAULT_LOAD_LAG_MILLISECONDS,
    )
    .action((options: PlainCommandOptions) =>
      runProgram(async (signal) => {
        const server = new PlainServer({
          host: options.host,
          port: options.port,
          clock: new SystemClock(),
          logger: createLogger("plain", options.logLevel),
          instance: createInstanceName(),
          slots: options.slots,
          callMilliseconds: options.callMs,
          restartMilliseconds: options.restartMs,
          loadLagMilliseconds: options.loadLagMs,
        }, signal);
        await server.start();
        return { port: server.port, adminPort: server.adminPort };
      })
    );
}
