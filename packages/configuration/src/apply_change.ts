/** Derives the next configuration from the current one and a change. */

import { err, ok, type Result } from "neverthrow";
import type { Change, Operation } from "./change.ts";
import { checkOperations } from "./check_operations.ts";
import type { ConfigurationError } from "./configuration_error.ts";
import { Draft } from "./draft.ts";
import type { FleetConfiguration } from "./model.ts";

/**
 * Validates a change against the configuration that it follows and applies it
 * atomically. On failure, returns all errors and applies nothing.
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
 * Applies changes from the log in order. They are not validated again: all VMs
 * must arrive at the same configuration, even if their program versions have
 * different validation rules.
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
