/** `rattanvane organisation`. */

import { createHash } from "node:crypto";
import { type Command, InvalidArgumentError } from "commander";
import { ProductError } from "@rattanvane/base";
import {
  type FleetConfiguration,
  type Operation,
  OperationKind,
  type Organisation,
} from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import { CommandFailure } from "../command_failure.ts";
import {
  addChangeOptions,
  addExample,
  type ChangeOptions,
} from "../common_options.ts";
import { ConfigurationClient, findPart } from "../configuration_client.ts";
import { ExitCode } from "../exit_code.ts";
import { type CommandResult, printResult } from "../output.ts";

const DEFAULT_WEIGHT = 1;
const DEFAULT_QUEUE_LIMIT = 500;
const LEAST_HASH_CHARACTERS = 8;

interface AddOptions extends ChangeOptions {
  weight: number;
  queueLimit: number;
  service: string[];
}

interface KeyOptions extends ChangeOptions {
  remove?: string;
}

/** Registers `organisation add`, `remove` and `key`. */
export function registerOrganisationCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const parent = program.command("organisation")
    .description("add and remove organisations and their keys");
  registerAdd(parent, environment);
  registerRemove(parent, environment);
  registerKey(parent, environment);
}

function registerAdd(parent: Command, environment: CommandEnvironment): void {
  const command = parent.command("add")
    .description("add an organisation without a key")
    .argument("<name>", "the organisation's name")
    .option("--weight <n>", "its share", parseNumber, DEFAULT_WEIGHT)
    .option(
      "--queue-limit <n>",
      "the most requests of it that may wait in one pool",
      parseNumber,
      DEFAULT_QUEUE_LIMIT,
    )
    .option(
      "--service <name...>",
      "the services that it may reach",
      (name: string, names: string[]) => [...names, name],
      [],
    )
    .action(async (name: string, options: AddOptions) => {
      const client = new ConfigurationClient(environment, options);
      const result = await client.applyRebuilt(
        (current) => buildAdd(current, { name, options }),
        options,
      );
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addChangeOptions(command),
    "rattanvane organisation add bakery --weight 2 --service captions " +
      "--settings vm-a1.yaml",
  );
}

function registerRemove(
  parent: Command,
  environment: CommandEnvironment,
): void {
  const command = parent.command("remove")
    .description("remove an organisation; its keys stop working")
    .argument("<name>", "the organisation's name")
    .action(async (name: string, options: ChangeOptions) => {
      const client = new ConfigurationClient(environment, options);
      const result = await client.applyRebuilt((current) => {
        findPart(current.organisations, { kind: "organisation", name });
        return [{ kind: OperationKind.RemoveOrganisation, name }];
      }, options);
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addChangeOptions(command),
    "rattanvane organisation remove bakery --dry-run --settings vm-a1.yaml",
  );
}

function registerKey(parent: Command, environment: CommandEnvironment): void {
  const command = parent.command("key")
    .description(
      "make a new bearer key and print it once, only its hash is stored; or " +
        "remove a key by its hash",
    )
    .argument("<name>", "the organisation's name")
    .option("--remove <hash>", "the start of the hash of the key to remove")
    .action(async (name: string, options: KeyOptions) => {
      const client = new ConfigurationClient(environment, options);
      const result = options.remove === undefined
        ? await addKey(name, { client, environment, options })
        : await client.applyRebuilt(
          (current) =>
            buildKeyRemoval(current, { name, start: options.remove ?? "" }),
          options,
        );
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addChangeOptions(command),
    "rattanvane organisation key bakery --settings vm-a1.yaml",
  );
}

function buildAdd(
  current: FleetConfiguration,
  wanted: { name: string; options: AddOptions },
): Operation[] {
  const { name, options } = wanted;
  if (current.organisations.has(name)) {
    throw createInvalidFailure(
      `Cannot add the organisation "${name}": it is there already`,
      "change it with `rattanvane configuration apply`",
    );
  }
  const organisation = {
    name,
    weight: options.weight,
    keyHashes: [],
    services: options.service,
    queueLimit: options.queueLimit,
  };
  return [createPut(organisation)];
}

/** The key is shown only once its hash has been accepted. */
async function addKey(
  name: string,
  context: {
    client: ConfigurationClient;
    environment: CommandEnvironment;
    options: KeyOptions;
  },
): Promise<CommandResult> {
  const { client, environment, options } = context;
  const key = environment.createKey();
  const hash = createHash("sha256").update(key).digest("hex");
  const result = await client.applyRebuilt((current) => {
    const wanted = { kind: "organisation", name };
    const organisation = findPart(current.organisations, wanted);
    const keyHashes = [...organisation.keyHashes, hash];
    return [createPut({ ...organisation, keyHashes })];
  }, options);
  if (options.dryRun) {
    return result;
  }
  return {
    text: `${result.text}\nKey, shown only now: ${key}`,
    value: { ...result.value as object, key, hash },
  };
}

function buildKeyRemoval(
  current: FleetConfiguration,
  wanted: { name: string; start: string },
): Operation[] {
  const { name, start } = wanted;
  const organisation = findPart(current.organisations, {
    kind: "organisation",
    name,
  });
  const keyHashes = organisation.keyHashes.filter((hash) =>
    !hash.startsWith(start)
  );
  const removed = organisation.keyHashes.length - keyHashes.length;
  if (start.length < LEAST_HASH_CHARACTERS || removed !== 1) {
    throw createInvalidFailure(
      `Cannot tell which key of "${name}" the hash "${start}" means: ` +
        `${removed} keys match`,
      `give at least ${LEAST_HASH_CHARACTERS} characters of one hash that ` +
        "`rattanvane configuration show --only organisations` lists",
    );
  }
  return [createPut({ ...organisation, keyHashes })];
}

function createPut(organisation: Organisation): Operation {
  return { kind: OperationKind.PutOrganisation, organisation };
}

function createInvalidFailure(problem: string, remedy: string): CommandFailure {
  const error = new ProductError({ kind: "invalid", problem, remedy });
  return new CommandFailure(ExitCode.Invalid, [error]);
}

function parseNumber(text: string): number {
  const number = Number(text);
  if (text.trim() === "" || !Number.isFinite(number)) {
    throw new InvalidArgumentError("use a number");
  }
  return number;
}
