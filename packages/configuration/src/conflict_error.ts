/** Tells an operator whose change came first. */

import type { Change } from "./change.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import { describeOperation } from "./describe_operation.ts";

const MOST_LISTED_CHANGES = 5;

/** Creates the error of a change that was made for a version that is past. */
export function createConflictError(
  expectedVersion: number,
  meanwhile: readonly Change[],
): ConfigurationError {
  const listed = meanwhile.slice(0, MOST_LISTED_CHANGES).map(describeChange);
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

function describeChange(change: Change): string {
  const operations = change.operations.map(describeOperation).join(", ");
  return `version ${change.version} by "${change.author}" did ${operations}`;
}
