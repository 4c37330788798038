/** `rattanvane zone` and `rattanvane endpoint`: drain and return. */

import type { Command } from "commander";
import {
  type FleetConfiguration,
  type Operation,
  OperationKind,
} from "@rattanvane/configuration";
import type { CommandEnvironment } from "../command_environment.ts";
import {
  addChangeOptions,
  addExample,
  type ChangeOptions,
} from "../common_options.ts";
import { ConfigurationClient, findPart } from "../configuration_client.ts";
import { printResult } from "../output.ts";

type BuildDrain = (
  current: FleetConfiguration,
  wanted: { name: string; drained: boolean },
) => Operation[];

interface DrainSubject {
  kind: string;
  exampleName: string;
  build: BuildDrain;
}

/** Registers `zone drain` and `zone return`. */
export function registerZoneCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  registerDrains(program, {
    environment,
    subject: { kind: "zone", exampleName: "zone-a", build: buildZoneDrain },
  });
}

/** Registers `endpoint drain` and `endpoint return`. */
export function registerEndpointCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  registerDrains(program, {
    environment,
    subject: {
      kind: "endpoint",
      exampleName: "captions-a1",
      build: buildEndpointDrain,
    },
  });
}

function registerDrains(
  program: Command,
  options: { environment: CommandEnvironment; subject: DrainSubject },
): void {
  const { kind } = options.subject;
  const parent = program.command(kind)
    .description(`take ${kind}s out of use and bring them back`);
  registerDrain(parent, {
    ...options,
    verb: "drain",
    drained: true,
    description: `give the ${kind} no new work; what runs there is finished`,
  });
  registerDrain(parent, {
    ...options,
    verb: "return",
    drained: false,
    description: `give the ${kind} work again, starting from the cold limits`,
  });
}

function registerDrain(
  parent: Command,
  settings: {
    environment: CommandEnvironment;
    subject: DrainSubject;
    verb: string;
    drained: boolean;
    description: string;
  },
): void {
  const { drained, environment, subject, verb } = settings;
  const command = parent.command(verb)
    .description(settings.description)
    .argument("<name>", `the ${subject.kind}'s name`)
    .action(async (name: string, options: ChangeOptions) => {
      const client = new ConfigurationClient(environment, options);
      const result = await client.applyRebuilt(
        (current) => subject.build(current, { name, drained }),
        options,
      );
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addChangeOptions(command),
    `rattanvane ${subject.kind} ${verb} ${subject.exampleName} ` +
      "--settings vm-a1.yaml",
  );
}

function buildZoneDrain(
  current: FleetConfiguration,
  wanted: { name: string; drained: boolean },
): Operation[] {
  const { drained, name } = wanted;
  const zone = findPart(current.zones, { kind: "zone", name });
  return zone.drained === drained
    ? []
    : [{ kind: OperationKind.PutZone, zone: { ...zone, drained } }];
}

function buildEndpointDrain(
  current: FleetConfiguration,
  wanted: { name: string; drained: boolean },
): Operation[] {
  const { drained, name } = wanted;
  const endpoint = findPart(current.endpoints, { kind: "endpoint", name });
  return endpoint.drained === drained
    ? []
    : [{ kind: OperationKind.PutEndpoint, endpoint: { ...endpoint, drained } }];
}
