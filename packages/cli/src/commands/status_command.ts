/** `rattanvane status`. */

import type { Command } from "commander";
import { describeError, ProductError } from "@rattanvane/base";
import { loadSettings } from "@rattanvane/settings";
import type { CommandEnvironment, VmAnswer } from "../command_environment.ts";
import { CommandFailure, createUsageFailure } from "../command_failure.ts";
import {
  addExample,
  addOutputOptions,
  type OutputOptions,
} from "../common_options.ts";
import { ExitCode } from "../exit_code.ts";
import { formatTable, type TableRecord } from "../format_table.ts";
import { printResult } from "../output.ts";
import { runWithProgress } from "../progress.ts";

const OK = 200;
const FIRST_REFUSAL = 400;
const FIRST_FAILURE = 500;

interface StatusOptions extends OutputOptions {
  vm?: string;
  settings?: string;
}

/** Registers `status`. */
export function registerStatusCommand(
  program: Command,
  environment: CommandEnvironment,
): void {
  const command = program.command("status")
    .description(
      "show the fleet as a VM sees it: zones, schedulers, endpoints with " +
        "their limits, waiting work by organisation. The operator's key " +
        "comes from the environment variable RATTANVANE_OPERATOR_KEY",
    )
    .option("--vm <url>", "where the VM serves callers")
    .option("--settings <file>", "take the VM's address from its settings")
    .action(async (options: StatusOptions) => {
      const value = await readStatus(findVmUrl(options), environment);
      const result = { text: formatStatus(value), value };
      printResult(result, { environment, json: options.json === true });
    });
  addExample(
    addOutputOptions(command),
    "rattanvane status --vm http://10.0.0.1:8080",
  );
}

/** Formats lists as tables and anything else as lines. */
export function formatStatus(status: TableRecord): string {
  const lines: string[] = [];
  const tables: string[] = [];
  for (const [name, value] of Object.entries(status)) {
    if (!Array.isArray(value)) {
      lines.push(`${name}: ${formatValue(value)}`);
    } else if (value.length === 0) {
      tables.push(`${name}: none`);
    } else {
      tables.push(`${name}:\n${formatTable(value.map(convertToRecord))}`);
    }
  }
  return [lines.join("\n"), ...tables].filter((part) => part !== "")
    .join("\n\n");
}

function formatValue(value: unknown): string {
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function convertToRecord(value: unknown): TableRecord {
  return typeof value === "object" && value !== null
    ? value as TableRecord
    : { value };
}

function findVmUrl(options: StatusOptions): string {
  if (options.vm !== undefined && URL.canParse(options.vm)) {
    return options.vm.replace(/\/+$/, "");
  }
  if (options.vm !== undefined || options.settings === undefined) {
    throw createUsageFailure(
      new ProductError({
        kind: "noVm",
        problem: options.vm === undefined
          ? "Cannot tell which VM to ask"
          : `Cannot use "${options.vm}" as a VM's URL`,
        remedy: "give --vm URL or --settings FILE",
      }),
    );
  }
  const settings = loadSettings(options.settings);
  if (settings.isErr()) {
    throw new CommandFailure(ExitCode.Invalid, settings.error);
  }
  const { callerPort, host } = settings.value.advertise;
  return `http://${host.includes(":") ? `[${host}]` : host}:${callerPort}`;
}

async function readStatus(
  url: string,
  environment: CommandEnvironment,
): Promise<TableRecord> {
  const { operatorKey } = environment;
  if (operatorKey === undefined) {
    throw createUsageFailure(
      new ProductError({
        kind: "noKey",
        problem: "Cannot ask a VM without an operator's key",
        remedy: "set the environment variable RATTANVANE_OPERATOR_KEY",
      }),
    );
  }
  const answer = await readAnswer(`${url}/status`, {
    environment,
    key: operatorKey,
  });
  if (answer.status !== OK) {
    throw createAnswerFailure(url, answer);
  }
  return parseStatus(url, answer);
}

function parseStatus(url: string, answer: VmAnswer): TableRecord {
  try {
    return convertToRecord(JSON.parse(answer.body));
  } catch {
    throw createAnswerFailure(url, answer);
  }
}

async function readAnswer(
  url: string,
  options: { environment: CommandEnvironment; key: string },
): Promise<VmAnswer> {
  const { environment, key } = options;
  try {
    const doing = `waiting for ${url}`;
    const read = environment.readVm(url, key);
    return await runWithProgress(read, { environment, doing });
  } catch (error) {
    const failure = new ProductError({
      kind: "unavailable",
      problem: `Cannot reach "${url}": ${describeError(error)}`,
      remedy: "check the address, or ask another VM",
      cause: error,
    });
    throw new CommandFailure(ExitCode.Unavailable, [failure]);
  }
}

function createAnswerFailure(url: string, answer: VmAnswer): CommandFailure {
  const { status } = answer;
  const isRefusal = status >= FIRST_REFUSAL && status < FIRST_FAILURE;
  const error = new ProductError({
    kind: "badAnswer",
    problem: `Cannot use the answer of "${url}" with status ${status}`,
    remedy: isRefusal
      ? "check that the VM's settings list the hash of the operator's key"
      : "check that the address is a router's caller port",
  });
  return new CommandFailure(ExitCode.Failed, [error]);
}
