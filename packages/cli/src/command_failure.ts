/** Ends a command with an exit code. */

import type { ProductError } from "@rattanvane/base";
import type { ConfigurationError } from "@rattanvane/configuration";
import { ExitCode, pickExitCode } from "./exit_code.ts";

/**
 * Thrown inside a command and caught where the command line is run: commander
 * gives a command's action no other way to end with an exit code.
 */
export class CommandFailure extends Error {
  readonly exitCode: ExitCode;
  readonly errors: readonly ProductError[];

  constructor(exitCode: ExitCode, errors: readonly ProductError[]) {
    super(errors.map((error) => error.message).join("\n"));
    this.exitCode = exitCode;
    this.errors = errors;
  }
}

/** Creates the failure of a change with its fitting exit code. */
export function createConfigurationFailure(
  errors: readonly ConfigurationError[],
): CommandFailure {
  return new CommandFailure(pickExitCode(errors), errors);
}

/** Creates the failure of wrong arguments or options. */
export function createUsageFailure(error: ProductError): CommandFailure {
  return new CommandFailure(ExitCode.Usage, [error]);
}
