/** `rattanvane configuration`. */

import type { Command } from "commander";
import type { CommandEnvironment } from "../command_environment.ts";
import { registerApplyCommand } from "./configuration_apply_command.ts";
import { registerGenerateCommand } from "./configuration_generate_command.ts";
import {
  registerCheckCommand,
  registerDiffCommand,
} from "./configuration_review_commands.ts";
import {
  registerHistoryCommand,
  registerShowCommand,
} from "./configuration_show_commands.ts";

/** Registers the commands on the whole configuration. */
export function registerConfigurationCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const configuration = program.command("configuration")
    .description("generate, check, apply and show the fleet's configuration");
  registerGenerateCommand(configuration, environment);
  registerCheckCommand(configuration, environment);
  registerDiffCommand(configuration, environment);
  registerApplyCommand(configuration, environment);
  registerShowCommand(configuration, environment);
  registerHistoryCommand(configuration, environment);
}
