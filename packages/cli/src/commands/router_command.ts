/** `rattanvane router`. */

import type { Command } from "commander";
import { loadSettings } from "@rattanvane/settings";
import type { CommandEnvironment } from "../command_environment.ts";
import { CommandFailure } from "../command_failure.ts";
import { addExample } from "../common_options.ts";
import { ExitCode } from "../exit_code.ts";
import { runRouterDaemon } from "../run_router.ts";

/** Registers `router`. */
export function registerRouterCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const command = program.command("router")
    .description(
      "run a router until it is told to stop; a second signal ends it at once",
    )
    .requiredOption("--settings <file>", "the router's settings file")
    .action(async (options: { settings: string }) => {
      const settings = loadSettings(options.settings);
      if (settings.isErr()) {
        throw new CommandFailure(ExitCode.Invalid, settings.error);
      }
      await runRouterDaemon(settings.value, environment.signal);
    });
  addExample(command, "rattanvane router --settings vm-a1.yaml");
}
