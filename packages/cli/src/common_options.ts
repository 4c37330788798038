/** Options that many commands share. */

import { type Command, Option } from "commander";
import { loadSettings } from "@rattanvane/settings";
import { ProductError } from "@rattanvane/base";
import { CommandFailure, createUsageFailure } from "./command_failure.ts";
import { ExitCode } from "./exit_code.ts";

/** Options of every command. */
export interface OutputOptions {
  json?: boolean;
}

/** Options of commands that use the platform. */
export interface PlatformOptions extends OutputOptions {
  platform?: string;
  settings?: string;
}

/** Options of commands that change the configuration. */
export interface ChangeOptions extends PlatformOptions {
  author?: string;
  dryRun?: boolean;
}

/** Adds `--json`. */
export function addOutputOptions(command: Command): Command {
  return command.option("--json", "print JSON for scripts");
}

/** Adds the options that say where the platform is. */
export function addPlatformOptions(command: Command): Command {
  return addOutputOptions(command)
    .addOption(
      new Option("--platform <url>", "the platform's base URL")
        .env("RATTANVANE_PLATFORM"),
    )
    .option(
      "--settings <file>",
      "take the platform's URL from a router's settings file",
    );
}

/** Adds the options of a command that changes something. */
export function addChangeOptions(command: Command): Command {
  return addPlatformOptions(command)
    .option("--author <name>", "who makes the change; the user by default")
    .option("--dry-run", "show what would change and change nothing");
}

/** Adds an example to a command's help. */
export function addExample(command: Command, example: string): Command {
  return command.addHelpText("after", `\nExample:\n  ${example}`);
}

/** Finds the platform's URL. */
export function findPlatformUrl(options: PlatformOptions): string {
  if (options.platform !== undefined) {
    return checkUrl(options.platform);
  }
  if (options.settings === undefined) {
    throw createUsageFailure(
      new ProductError({
        kind: "noPlatform",
        problem: "Cannot tell where the platform is",
        remedy: "give --platform URL, --settings FILE or the environment " +
          "variable RATTANVANE_PLATFORM",
      }),
    );
  }
  const settings = loadSettings(options.settings);
  if (settings.isErr()) {
    throw new CommandFailure(ExitCode.Invalid, settings.error);
  }
  return settings.value.platform.url;
}

function checkUrl(url: string): string {
  if (URL.canParse(url) && /^https?:$/.test(new URL(url).protocol)) {
    return url.replace(/\/+$/, "");
  }
  throw createUsageFailure(
    new ProductError({
      kind: "badUrl",
      problem: `Cannot use "${url}" as the platform's URL`,
      remedy: "give one that starts with http:// or https://",
    }),
  );
}
