/** Generic access to the fields of a configuration's parts. */

import { type Operation, OperationKind } from "./change.ts";
import type { FleetConfiguration } from "./model.ts";
import { operationSchema } from "./operation_schema.ts";

/** The fields of an organisation, service, zone or endpoint. */
export type PartFields = Readonly<Record<string, unknown>>;

/** Reads the fields that an operation sets; undefined for a removal. */
export function readFields(operation: Operation): PartFields | undefined {
  switch (operation.kind) {
    case OperationKind.PutOrganisation:
      return { ...operation.organisation };
    case OperationKind.PutService:
      return { ...operation.service };
    case OperationKind.PutZone:
      return { ...operation.zone };
    case OperationKind.PutEndpoint:
      return { ...operation.endpoint };
    default:
      return undefined;
  }
}

/** Finds the configured fields of the part that an operation affects. */
export function findFields(
  operation: Operation,
  configuration: FleetConfiguration,
): PartFields | undefined {
  const part = findPart(operation, configuration);
  return part === undefined ? undefined : { ...part };
}

/** Creates an operation of the same kind with other fields. */
export function createPut(operation: Operation, fields: PartFields): Operation {
  return operationSchema.parse({
    kind: operation.kind,
    [PART_KEYS[operation.kind] ?? ""]: fields,
  });
}

/** Whether two field values are equal. */
export function isSameValue(first: unknown, second: unknown): boolean {
  return JSON.stringify(first) === JSON.stringify(second);
}

const PART_KEYS: Partial<Record<OperationKind, string>> = {
  [OperationKind.PutOrganisation]: "organisation",
  [OperationKind.PutService]: "service",
  [OperationKind.PutZone]: "zone",
  [OperationKind.PutEndpoint]: "endpoint",
};

function findPart(operation: Operation, configuration: FleetConfiguration) {
  switch (operation.kind) {
    case OperationKind.PutOrganisation:
      return configuration.organisations.get(operation.organisation.name);
    case OperationKind.RemoveOrganisation:
      return configuration.organisations.get(operation.name);
    case OperationKind.PutService:
      return configuration.services.get(operation.service.name);
    case OperationKind.RemoveService:
      return configuration.services.get(operation.name);
    case OperationKind.PutZone:
      return configuration.zones.get(operation.zone.name);
    case OperationKind.RemoveZone:
      return configuration.zones.get(operation.name);
    case OperationKind.PutEndpoint:
      return configuration.endpoints.get(operation.endpoint.name);
    case OperationKind.RemoveEndpoint:
      return configuration.endpoints.get(operation.name);
  }
}
