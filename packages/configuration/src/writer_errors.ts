/** Errors that the log writer reports to operators. */

import type { PlatformError } from "@rattanvane/platform";
import type { Change } from "./change.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import { convertPlatformError } from "./convert_platform_error.ts";
import { describeOperation } from "./describe_operation.ts";

const MAXIMUM_LISTED_CHANGES = 5;

/** Creates the error for a change that is based on an outdated version. */
export function createConflictError(
  expectedVersion: number,
  meanwhile: readonly Change[],
): ConfigurationError {
  const listed = meanwhile.slice(0, MAXIMUM_LISTED_CHANGES).map(describeChange);
  const more = meanwhile.length - listed.length;
  if (more > 0) {
    listed.push(`and ${more} more changes`);
  }
  return new ConfigurationError({
    kind: ConfigurationErrorKind.Conflict,
    problem: `Cannot accept a change made for version ${expectedVersion}: ` +
      (listed.join("; ") || "another change was accepted first"),
    remedy: "look at the newer configuration and make the change again",
    meanwhile,
  });
}

/** Creates the error for more rows than fit into one transaction. */
export function createTooManyRowsError(
  rows: number,
  most: number,
): ConfigurationError {
  return new ConfigurationError({
    kind: ConfigurationErrorKind.TooLarge,
    problem: `Cannot write a change together with "${rows}" questionnaires; ` +
      `at most ${most} fit into one transaction`,
    remedy: "split it into several changes",
  });
}

/** Creates the error for a write that failed after all retries. */
export function createUnfinishedError(
  change: Change,
  outcome: { mayBeWritten: boolean; lastError: PlatformError | undefined },
): ConfigurationError {
  if (!outcome.mayBeWritten && outcome.lastError !== undefined) {
    return convertPlatformError(outcome.lastError);
  }
  return new ConfigurationError({
    kind: ConfigurationErrorKind.OutcomeUnknown,
    problem: `Cannot tell whether version ${change.version} with the id ` +
      `"${change.id}" was accepted: the platform's answers were lost`,
    remedy: "look for the id with `rattanvane configuration history`",
    cause: outcome.lastError,
  });
}

function describeChange(change: Change): string {
  const operations = change.operations.map(describeOperation).join(", ");
  return `version ${change.version} by "${change.author}" did ${operations}`;
}
