/** Describes operations for people. */

import { type Operation, OperationKind } from "./change.ts";

/** Describes the part that an operation affects. */
export function describeSubject(operation: Operation): string {
  switch (operation.kind) {
    case OperationKind.PutOrganisation:
      return `organisation "${operation.organisation.name}"`;
    case OperationKind.RemoveOrganisation:
      return `organisation "${operation.name}"`;
    case OperationKind.PutService:
      return `service "${operation.service.name}"`;
    case OperationKind.RemoveService:
      return `service "${operation.name}"`;
    case OperationKind.PutZone:
      return `zone "${operation.zone.name}"`;
    case OperationKind.RemoveZone:
      return `zone "${operation.name}"`;
    case OperationKind.PutEndpoint:
      return `endpoint "${operation.endpoint.name}"`;
    case OperationKind.RemoveEndpoint:
      return `endpoint "${operation.name}"`;
  }
}

/** Describes an operation briefly, for lists of changes. */
export function describeOperation(operation: Operation): string {
  const verb = operation.kind.startsWith("put") ? "put" : "remove";
  return `${verb} ${describeSubject(operation)}`;
}
