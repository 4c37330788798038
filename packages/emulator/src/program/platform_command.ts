/** The command that runs the platform stand-in. */

import type { Command } from "commander";
import { SystemClock } from "@rattanvane/base";
import { PlatformServer } from "../platform/platform_server.ts";
import {
  addCommonOptions,
  type CommonOptions,
  parseNumber,
} from "./common_options.ts";
import { runProgram } from "./run_program.ts";

const DEFAULT_WRITES_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2000;
const DEFAULT_VM_LIST_LAG_MILLISECONDS = 1000;

interface PlatformCommandOptions extends CommonOptions {
  writesPerSecond: number;
  readsPerSecond: number;
  vmListLagMs: number;
}

/** Registers `platform`. */
export function registerPlatformCommand(program: Command): void {
  addCommonOptions(
    program
      .command("platform")
      .description("Test support: table service, object store and VM list"),
  )
    .option(
      "--writes-per-second <n>",
      "budget of writes; a transaction counts one",
      parseNumber,
      DEFAULT_WRITES_PER_SECOND,
    )
    .option(
      "--reads-per-second <n>",
      "budget of reads",
      parseNumber,
      DEFAULT_READS_PER_SECOND,
    )
    .option(
      "--vm-list-lag-ms <ms>",
      "how late the VM list shows a change",
      parseNumber,
      DEFAULT_VM_LIST_LAG_MILLISECONDS,
    )
    .action((options: PlatformCommandOptions) =>
      runProgram(async (signal) => {
        const server = new PlatformServer({
          ...options,
          clock: new SystemClock(),
          vmListLagMilliseconds: options.vmListLagMs,
        }, signal);
        await server.start();
        return { port: server.port };
      })
    );
}
