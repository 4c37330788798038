/** `rattanvane configuration show` and `history`. */

import { type Command, InvalidArgumentError, Option } from "commander";
import {
  type Change,
  describeOperation,
  type FleetConfiguration,
} from "@rattanvane/configuration";
import { stringify } from "yaml";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addExample,
  addPlatformOptions,
  type PlatformOptions,
} from "../common_options.ts";
import { ConfigurationClient } from "../configuration_client.ts";
import { printResult } from "../output.ts";

const DEFAULT_HISTORY = 20;
const LONGEST_HISTORY = 100;

enum ConfigurationPart {
  Organisations = "organisations",
  Services = "services",
  Zones = "zones",
  Endpoints = "endpoints",
}

interface ShowOptions extends PlatformOptions {
  only?: ConfigurationPart;
}

interface HistoryOptions extends PlatformOptions {
  limit: number;
}

/** Registers `configuration show`. */
export function registerShowCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("show")
    .description("print the newest configuration")
    .addOption(
      new Option("--only <part>", "print only one part")
        .choices(Object.values(ConfigurationPart)),
    )
    .action(async (options: ShowOptions) => {
      const client = new ConfigurationClient(environment, options);
      const value = describeParts(await client.load(), options.only);
      const result = { text: stringify(value).trimEnd(), value };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addPlatformOptions(command),
    "rattanvane configuration show --only zones --settings vm-a1.yaml",
  );
}

/** Registers `configuration history`. */
export function registerHistoryCommand(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("history")
    .description("list the newest changes, who made them and what they did")
    .option(
      "--limit <n>",
      `how many, up to ${LONGEST_HISTORY}`,
      parseLimit,
      DEFAULT_HISTORY,
    )
    .action(async (options: HistoryOptions) => {
      const client = new ConfigurationClient(environment, options);
      const read = client.log.readNewest(options.limit, environment.signal);
      const changes = await client.wait(read, "reading the change log");
      const result = {
        text: changes.map(formatChange).join("\n"),
        value: { changes },
      };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addPlatformOptions(command),
    "rattanvane configuration history --limit 5 --settings vm-a1.yaml",
  );
}

function describeParts(
  configuration: FleetConfiguration,
  only: ConfigurationPart | undefined,
): object {
  const parts = only === undefined ? Object.values(ConfigurationPart) : [only];
  const listed = parts.map((part) => [part, [...configuration[part].values()]]);
  return { version: configuration.version, ...Object.fromEntries(listed) };
}

function formatChange(change: Change): string {
  const time = new Date(change.acceptedAt).toISOString();
  const operations = change.operations.map((operation) =>
    `    ${describeOperation(operation)}`
  );
  const heading = `${change.version}  ${time}  ${change.author}  ${change.id}`;
  return [heading, ...operations].join("\n");
}

function parseLimit(text: string): number {
  const limit = Number(text);
  if (Number.isInteger(limit) && limit >= 1 && limit <= LONGEST_HISTORY) {
    return limit;
  }
  throw new InvalidArgumentError(
    `use a whole number from 1 to ${LONGEST_HISTORY}`,
  );
}
