/** The command line: all commands, and how they end. */

import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import { describeError, ProductError } from "@rattanvane/base";
import type { CommandEnvironment } from "./command_environment.ts";
import { CommandFailure } from "./command_failure.ts";
import { registerConfigurationCommand } from "./commands/configuration_command.ts";
import {
  registerEndpointCommand,
  registerZoneCommand,
} from "./commands/drain_commands.ts";
import { registerOrganisationCommand } from "./commands/organisation_command.ts";
import { registerQuestionnaireCommand } from "./commands/questionnaire_command.ts";
import { registerRouterCommand } from "./commands/router_command.ts";
import { registerSettingsCommand } from "./commands/settings_command.ts";
import { registerStatusCommand } from "./commands/status_command.ts";
import { ExitCode } from "./exit_code.ts";
import { printFailure } from "./output.ts";

const PACKAGE_FILE = new URL("../package.json", import.meta.url);

/** Creates the program with all its commands. */
export function createProgram(environment: CommandEnvironment): Command {
  const program = new Command("rattanvane")
    .description("Run and operate a fleet of routers")
    .version(loadVersion())
    .showHelpAfterError("(--help shows what is accepted)")
    .configureOutput({
      writeOut: (text) => environment.print(text),
      writeErr: (text) => environment.printError(text),
    })
    .exitOverride();
  registerRouterCommand(program, environment);
  registerSettingsCommand(program, environment);
  registerQuestionnaireCommand(program, environment);
  registerConfigurationCommand(program, environment);
  registerZoneCommand(program, environment);
  registerEndpointCommand(program, environment);
  registerOrganisationCommand(program, environment);
  registerStatusCommand(program, environment);
  return program;
}

/** Runs one command line, without the program's name; returns its exit code. */
export async function runCommandLine(
  words: readonly string[],
  environment: CommandEnvironment,
): Promise<ExitCode> {
  const json = words.includes("--json");
  try {
    await createProgram(environment).parseAsync(words, { from: "user" });
    return ExitCode.Ok;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
    }
    const failure = error instanceof CommandFailure
      ? error
      : createUnexpectedFailure(error);
    printFailure(failure, { environment, json });
    return failure.exitCode;
  }
}

function createUnexpectedFailure(error: unknown): CommandFailure {
  const failure = new ProductError({
    kind: "unexpected",
    problem: `Cannot go on: ${describeError(error)}`,
    remedy: "report it together with the command",
    cause: error,
  });
  return new CommandFailure(ExitCode.Failed, [failure]);
}

function loadVersion(): string {
  const text = readFileSync(PACKAGE_FILE, "utf8");
  return String(Reflect.get(JSON.parse(text), "version"));
}
