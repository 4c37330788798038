/** Makes the next configuration out of the current one and a change. */

import { err, ok, type Result } from "neverthrow";
import type { Change, Operation } from "./change.ts";
import { checkOperations } from "./check_operations.ts";
import type { ConfigurationError } from "./configuration_error.ts";
import { Draft } from "./draft.ts";
import type { FleetConfiguration } from "./model.ts";

/**
 * Checks a change against the configuration that it follows and applies it
 * whole; on failure, returns every error and nothing is applied.
 */
export function applyChange(
  configuration: FleetConfiguration,
  change: Pick<Change, "version" | "operations">,
): Result<FleetConfiguration, ConfigurationError[]> {
  const next = applyOperations(configuration, change);
  const errors = checkOperations(change.operations, {
    before: configuration,
    after: next,
  });
  return errors.length === 0 ? ok(next) : err(errors);
}

/**
 * Applies changes that the log has accepted, in order. They are not checked
 * again: every VM has to come to the same configuration, whatever the version
 * of its program checks.
 */
export function applyAcceptedChanges(
  configuration: FleetConfiguration,
  changes: readonly Change[],
): FleetConfiguration {
  const draft = new Draft(configuration);
  let { version } = configuration;
  for (const change of changes) {
    change.operations.forEach((operation) => draft.apply(operation));
    version = change.version;
  }
  return draft.build(version);
}

function applyOperations(
  configuration: FleetConfiguration,
  change: { version: number; operations: readonly Operation[] },
): FleetConfiguration {
  const draft = new Draft(configuration);
  change.operations.forEach((operation) => draft.apply(operation));
  return draft.build(change.version);
}
