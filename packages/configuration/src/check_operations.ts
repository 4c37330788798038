/** Validates operations against the configurations before and after them. */

import { type Operation, OperationKind } from "./change.ts";
import { checkReferences } from "./check_references.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import type { FleetConfiguration } from "./model.ts";
import { describeSubject } from "./describe_operation.ts";
import { operationSchema } from "./operation_schema.ts";

/** The configurations before and after a change. */
export interface CheckedStep {
  before: FleetConfiguration;
  after: FleetConfiguration;
}

/** Returns all validation errors of the operations. */
export function checkOperations(
  operations: readonly Operation[],
  step: CheckedStep,
): ConfigurationError[] {
  if (operations.length === 0) {
    return [
      new ConfigurationError({
        kind: ConfigurationErrorKind.BadValue,
        problem: "Cannot accept a change without operations",
        remedy: "add at least one operation",
      }),
    ];
  }
  const valueErrors = operations.flatMap(checkValues);
  if (valueErrors.length > 0) {
    return valueErrors;
  }
  return [
    ...operations.flatMap((operation) => checkPresence(operation, step.before)),
    ...checkReferences(operations, step.after),
  ];
}

function checkValues(
  operation: Operation,
  index: number,
): ConfigurationError[] {
  const parsed = operationSchema.safeParse(operation);
  if (parsed.success) {
    return [];
  }
  return parsed.error.issues.map((issue) => {
    const key = ["operations", index, ...issue.path].map(String).join(".");
    const value = JSON.stringify(findValue(operation, issue.path));
    return new ConfigurationError({
      kind: ConfigurationErrorKind.BadValue,
      problem: `Cannot accept ${value ?? "a missing value"} for "${key}"`,
      remedy: issue.code === "unrecognized_keys"
        ? `remove the unknown keys ${issue.keys.join(", ")}`
        : `accepted is ${issue.message}`,
    });
  });
}

function findValue(root: unknown, path: readonly PropertyKey[]): unknown {
  let value: unknown = root;
  for (const key of path) {
    if (typeof value !== "object" || value === null) {
      return undefined;
    }
    value = Reflect.get(value, key);
  }
  return value;
}

function checkPresence(
  operation: Operation,
  before: FleetConfiguration,
): ConfigurationError[] {
  const maps: Partial<Record<OperationKind, ReadonlyMap<string, unknown>>> = {
    [OperationKind.RemoveOrganisation]: before.organisations,
    [OperationKind.RemoveService]: before.services,
    [OperationKind.RemoveZone]: before.zones,
    [OperationKind.RemoveEndpoint]: before.endpoints,
  };
  const map = maps[operation.kind];
  if (map === undefined || !("name" in operation) || map.has(operation.name)) {
    return [];
  }
  return [
    new ConfigurationError({
      kind: ConfigurationErrorKind.NotFound,
      problem: `Cannot remove the ${describeSubject(operation)}: not found`,
      remedy: "check the name with `rattanvane configuration show`",
    }),
  ];
}
