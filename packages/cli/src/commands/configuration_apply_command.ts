/** `rattanvane configuration apply`. */

import type { Command } from "commander";
import { buildQuestionnaireRow } from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addChangeOptions,
  addExample,
  type ChangeOptions,
} from "../common_options.ts";
import { ConfigurationClient } from "../configuration_client.ts";
import { printResult } from "../output.ts";
import { loadChangeFile } from "../read_file.ts";

/** Registers `configuration apply`. */
export function registerApplyCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("apply")
    .description(
      "have a change accepted whole, unless the configuration has moved on " +
        "from the version that it was made for",
    )
    .argument("<file>", "the change")
    .action(async (file: string, options: ChangeOptions) => {
      const change = loadChangeFile(file);
      const client = new ConfigurationClient(environment, options);
      const result = change.operations.length === 0
        ? await client.describeUnchanged()
        : await client.applyOnce({
          operations: change.operations,
          expectedVersion: change.madeForVersion,
          attachedRows: change.questionnaires.map(buildQuestionnaireRow),
        }, options);
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addChangeOptions(command),
    "rattanvane configuration apply change.yaml --dry-run " +
      "--settings vm-a1.yaml",
  );
}
