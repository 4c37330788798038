/** Checks the references of the parts that operations affect. */

import { type Operation, OperationKind } from "./change.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import { describeOperation } from "./describe_operation.ts";
import type { Endpoint, FleetConfiguration, Organisation } from "./model.ts";

/** Returns an error for each reference that the operations would break. */
export function checkReferences(
  operations: readonly Operation[],
  after: FleetConfiguration,
): ConfigurationError[] {
  // Several operations on one part would otherwise report an error twice.
  const bySubject = new Map(
    operations.map((operation) => [describeOperation(operation), operation]),
  );
  return [...bySubject.values()].flatMap((operation) =>
    checkOne(operation, after)
  );
}

function checkOne(
  operation: Operation,
  after: FleetConfiguration,
): ConfigurationError[] {
  switch (operation.kind) {
    case OperationKind.PutOrganisation: {
      const { name } = operation.organisation;
      const organisation = after.organisations.get(name);
      return organisation === undefined
        ? []
        : checkOrganisation(organisation, after);
    }
    case OperationKind.PutEndpoint: {
      const endpoint = after.endpoints.get(operation.endpoint.name);
      return endpoint === undefined ? [] : checkEndpoint(endpoint, after);
    }
    case OperationKind.RemoveZone:
      return after.zones.has(operation.name)
        ? []
        : checkZoneUnused(operation.name, after);
    case OperationKind.RemoveService:
      return after.services.has(operation.name)
        ? []
        : checkServiceUnused(operation.name, after);
    default:
      return [];
  }
}

function checkOrganisation(
  organisation: Organisation,
  after: FleetConfiguration,
): ConfigurationError[] {
  const subject = `organisation "${organisation.name}"`;
  const unknown = organisation.services
    .filter((service) => !after.services.has(service))
    .map((service) => createUnknownError(subject, `service "${service}"`));
  return [...unknown, ...checkKeys(organisation, after)];
}

function checkKeys(
  organisation: Organisation,
  after: FleetConfiguration,
): ConfigurationError[] {
  const hashes = new Set(organisation.keyHashes);
  const errors: ConfigurationError[] = [];
  if (hashes.size < organisation.keyHashes.length) {
    errors.push(createDuplicateKeyError(organisation.name, organisation.name));
  }
  for (const other of after.organisations.values()) {
    if (other.name === organisation.name) {
      continue;
    }
    if (other.keyHashes.some((hash) => hashes.has(hash))) {
      errors.push(createDuplicateKeyError(organisation.name, other.name));
    }
  }
  return errors;
}

function createDuplicateKeyError(
  organisation: string,
  other: string,
): ConfigurationError {
  return new ConfigurationError({
    kind: ConfigurationErrorKind.Duplicate,
    problem: `Cannot give the organisation "${organisation}" a key hash that ` +
      (organisation === other
        ? "it has already"
        : `the organisation "${other}" has already`),
    remedy: "make a new key with `rattanvane organisation key`",
  });
}

function checkEndpoint(
  endpoint: Endpoint,
  after: FleetConfiguration,
): ConfigurationError[] {
  const subject = `endpoint "${endpoint.name}"`;
  const errors: ConfigurationError[] = [];
  if (!after.zones.has(endpoint.zone)) {
    errors.push(createUnknownError(subject, `zone "${endpoint.zone}"`));
  }
  if (!after.services.has(endpoint.service)) {
    errors.push(createUnknownError(subject, `service "${endpoint.service}"`));
  }
  if (endpoint.limitCeiling < endpoint.coldLimit) {
    errors.push(
      new ConfigurationError({
        kind: ConfigurationErrorKind.BadValue,
        problem: `Cannot accept the limit ceiling "${endpoint.limitCeiling}" ` +
          `of the ${subject} below its cold limit "${endpoint.coldLimit}"`,
        remedy: "raise the ceiling or lower the cold limit",
      }),
    );
  }
  return [...errors, ...checkUrl(endpoint, after)];
}

function checkUrl(
  endpoint: Endpoint,
  after: FleetConfiguration,
): ConfigurationError[] {
  for (const other of after.endpoints.values()) {
    if (other.url === endpoint.url && other.name !== endpoint.name) {
      return [
        new ConfigurationError({
          kind: ConfigurationErrorKind.Duplicate,
          problem: `Cannot give the endpoint "${endpoint.name}" the URL ` +
            `"${endpoint.url}" that the endpoint "${other.name}" has already`,
          remedy: "correct the URL or remove the other endpoint",
        }),
      ];
    }
  }
  return [];
}

function createUnknownError(
  subject: string,
  reference: string,
): ConfigurationError {
  return new ConfigurationError({
    kind: ConfigurationErrorKind.UnknownReference,
    problem: `Cannot accept the ${subject}: there is no ${reference}`,
    remedy: "add it in the same change or correct the name",
  });
}

function checkZoneUnused(
  zone: string,
  after: FleetConfiguration,
): ConfigurationError[] {
  const users = [...after.endpoints.values()]
    .filter((endpoint) => endpoint.zone === zone)
    .map((endpoint) => `endpoint "${endpoint.name}"`);
  return createInUseErrors(`zone "${zone}"`, users);
}

function checkServiceUnused(
  service: string,
  after: FleetConfiguration,
): ConfigurationError[] {
  const endpoints = [...after.endpoints.values()]
    .filter((endpoint) => endpoint.service === service)
    .map((endpoint) => `endpoint "${endpoint.name}"`);
  const organisations = [...after.organisations.values()]
    .filter((organisation) => organisation.services.includes(service))
    .map((organisation) => `organisation "${organisation.name}"`);
  return createInUseErrors(`service "${service}"`, [
    ...endpoints,
    ...organisations,
  ]);
}

function createInUseErrors(
  subject: string,
  users: readonly string[],
): ConfigurationError[] {
  return users.map((user) =>
    new ConfigurationError({
      kind: ConfigurationErrorKind.InUse,
      problem: `Cannot remove the ${subject}: the ${user} uses it`,
      remedy: "remove or change the user in the same change",
    })
  );
}
