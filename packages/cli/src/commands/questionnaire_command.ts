/** `rattanvane questionnaire`. */

import type { Command } from "commander";
import { renderQuestionnaire } from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addExample,
  addOutputOptions,
  type OutputOptions,
} from "../common_options.ts";
import { printResult } from "../output.ts";

/** Registers `questionnaire`. */
export function registerQuestionnaireCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const command = program.command("questionnaire")
    .description("print the form that a new team fills in")
    .action((options: OutputOptions) => {
      const form = renderQuestionnaire();
      const result = { text: form.trimEnd(), value: { form } };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addOutputOptions(command),
    "rattanvane questionnaire > bakery.yaml",
  );
}
