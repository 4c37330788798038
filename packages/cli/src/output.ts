/** Prints results for people or for scripts. */

import type { ProductError } from "@rattanvane/base";
import type { CommandEnvironment } from "./command_environment.ts";
import type { CommandFailure } from "./command_failure.ts";

const JSON_INDENT = 2;

/** A command's result in both forms. */
export interface CommandResult {
  /** Lines for people; printed as they are. */
  text: string;
  /** What `--json` prints. */
  value: unknown;
}

/** Prints a result as the options ask for. */
export function printResult(
  result: CommandResult,
  options: { environment: CommandEnvironment; json: boolean },
): void {
  const { environment, json } = options;
  if (json) {
    environment.print(`${formatJson(result.value)}\n`);
    return;
  }
  environment.print(result.text === "" ? "" : `${result.text}\n`);
}

/** Prints a failure: lines on standard error, or JSON on standard output. */
export function printFailure(
  failure: CommandFailure,
  options: { environment: CommandEnvironment; json: boolean },
): void {
  const { environment, json } = options;
  if (!json) {
    environment.printError(`${failure.message}\n`);
    return;
  }
  const errors = failure.errors.map(describeProductError);
  environment.print(`${formatJson({ exitCode: failure.exitCode, errors })}\n`);
}

function describeProductError(error: ProductError): object {
  const { kind, message, remedy } = error;
  return { ...error, kind, message, remedy, cause: undefined };
}

function formatJson(value: unknown): string {
  return JSON.stringify(value, undefined, JSON_INDENT);
}
