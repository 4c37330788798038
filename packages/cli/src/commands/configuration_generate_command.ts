/** `rattanvane configuration generate`. */

import type { Command } from "commander";
import {
  type AnsweredQuestionnaire,
  type ChangeFile,
  describeDifference,
  type Difference,
  generateOperations,
  readQuestionnaire,
} from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addExample,
  addPlatformOptions,
  type PlatformOptions,
} from "../common_options.ts";
import { ConfigurationClient } from "../configuration_client.ts";
import { printResult } from "../output.ts";
import {
  formatChangeFile,
  loadQuestionnaire,
  writeText,
} from "../read_file.ts";

interface GenerateOptions extends PlatformOptions {
  output?: string;
}

/** Registers `configuration generate`. */
export function registerGenerateCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("generate")
    .description(
      "make a change out of teams' forms; what was changed by hand since is " +
        "shown and left",
    )
    .argument("<forms...>", "the teams' filled-in forms")
    .option("--output <file>", "where to write the change; printed by default")
    .action(async (forms: string[], options: GenerateOptions) => {
      const client = new ConfigurationClient(environment, options);
      const generated = await generateChange(forms, { client, environment });
      printGenerated(generated, { options, environment });
    });
  addExample(
    addPlatformOptions(command),
    "rattanvane configuration generate bakery.yaml --output change.yaml " +
      "--platform http://127.0.0.1:7000",
  );
}

interface GeneratedChange {
  change: ChangeFile;
  differences: Difference[];
}

async function generateChange(
  forms: readonly string[],
  context: { client: ConfigurationClient; environment: CommandEnvironment },
): Promise<GeneratedChange> {
  const { client, environment } = context;
  const { signal } = environment;
  const { table } = client.platform;
  const answered: AnsweredQuestionnaire[] = [];
  const questionnaires = forms.map(loadQuestionnaire);
  const current = await client.load();
  for (const answers of questionnaires) {
    const read = readQuestionnaire(answers.organisation.name, {
      table,
      signal,
    });
    const previous = await client.wait(read, "reading earlier answers");
    answered.push({ answers, previous });
  }
  const { differences, operations } = generateOperations(answered, current);
  const change = {
    madeForVersion: current.version,
    operations,
    questionnaires,
  };
  return { change, differences };
}

function printGenerated(
  generated: GeneratedChange,
  context: { options: GenerateOptions; environment: CommandEnvironment },
): void {
  const { environment, options } = context;
  const { change, differences } = generated;
  for (const difference of differences) {
    environment.printError(`${describeDifference(difference)}\n`);
  }
  const text = formatChangeFile(change);
  if (options.output !== undefined) {
    writeText(options.output, text);
  }
  const { operations } = change;
  const result = {
    text: options.output === undefined
      ? text.trimEnd()
      : `${options.output}: a change of ${operations.length} operations for ` +
        `version ${change.madeForVersion}`,
    value: { change, differences },
  };
  printResult(result, { environment, json: options.json === true });
}
