/** `rattanvane configuration check` and `diff`. */

import type { Command } from "commander";
import { collectDifferences, type Operation } from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addExample,
  addPlatformOptions,
  type PlatformOptions,
} from "../common_options.ts";
import {
  ConfigurationClient,
  describeDryRun,
} from "../configuration_client.ts";
import { formatDifferences } from "../format_differences.ts";
import { printResult } from "../output.ts";
import { loadChangeFile } from "../read_file.ts";

/** Registers `configuration check`. */
export function registerCheckCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("check")
    .description("check a change against the newest configuration")
    .argument("<file>", "the change")
    .action(async (file: string, options: PlatformOptions) => {
      const change = loadChangeFile(file);
      const client = new ConfigurationClient(environment, options);
      const current = await client.load();
      await client.checkVersion(change.madeForVersion, current);
      if (change.operations.length > 0) {
        describeDryRun(current, change.operations);
      }
      const count = change.operations.length;
      const result = {
        text: `${file}: ${count} operations for version ` +
          `${current.version}, no faults`,
        value: { file, version: current.version, operations: count },
      };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addPlatformOptions(command),
    "rattanvane configuration check change.yaml --settings vm-a1.yaml",
  );
}

/** Registers `configuration diff`. */
export function registerDiffCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("diff")
    .description("show what a change would do to the newest configuration")
    .argument("<file>", "the change")
    .action(async (file: string, options: PlatformOptions) => {
      const { operations } = loadChangeFile(file);
      const client = new ConfigurationClient(environment, options);
      const current = await client.load();
      const result = describeDiff(operations, current);
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addPlatformOptions(command),
    "rattanvane configuration diff change.yaml --settings vm-a1.yaml",
  );
}

function describeDiff(
  operations: Operation[],
  current: Parameters<typeof collectDifferences>[1],
) {
  const changes = collectDifferences(operations, current);
  return {
    text: changes.length === 0
      ? `No difference from version ${current.version}`
      : formatDifferences(changes),
    value: { version: current.version, changes },
  };
}
