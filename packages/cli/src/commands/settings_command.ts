/** `rattanvane settings`. */

import type { Command } from "commander";
import { loadSettings } from "@rattanvane/settings";
import type { CommandEnvironment } from "../command_environment.ts";
import { CommandFailure } from "../command_failure.ts";
import {
  addExample,
  addOutputOptions,
  type OutputOptions,
} from "../common_options.ts";
import { ExitCode } from "../exit_code.ts";
import { printResult } from "../output.ts";

/** Registers `settings check`. */
export function registerSettingsCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const settings = program.command("settings")
    .description("work with settings files");
  const check = settings.command("check")
    .description("check a settings file and tell every fault")
    .argument("<file>", "the settings file")
    .action((file: string, options: OutputOptions) => {
      const loaded = loadSettings(file);
      if (loaded.isErr()) {
        throw new CommandFailure(ExitCode.Invalid, loaded.error);
      }
      const { vm, zone } = loaded.value;
      const result = {
        text: `${file}: settings of ${vm} in ${zone}, no faults`,
        value: { file, vm, zone, errors: [] },
      };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(addOutputOptions(check), "rattanvane settings check vm-a1.yaml");
}
