/** Schemas of the model's parts and of the operations on them. */

import { z } from "zod";
import { type Operation, OperationKind } from "./change.ts";
import { ServiceKind } from "./model.ts";

const MAXIMUM_NAME_CHARACTERS = 63;
const MAXIMUM_WEIGHT = 1_000_000;
const MAXIMUM_LIMIT = 1_000_000;
const MAXIMUM_COST = 1_000_000_000;

const NAME_ACCEPTED =
  `1 to ${MAXIMUM_NAME_CHARACTERS} lower-case letters, digits, dots and hyphens`;
const WEIGHT_ACCEPTED = `a number above 0 and up to ${MAXIMUM_WEIGHT}`;
const LIMIT_ACCEPTED = `a whole number from 1 to ${MAXIMUM_LIMIT}`;
const COST_ACCEPTED = `a number above 0 and up to ${MAXIMUM_COST}`;
const HASH_ACCEPTED = "a SHA-256 hash in 64 lower-case hexadecimal digits";
const METHOD_ACCEPTED = "an upper-case HTTP method, or *";
const PATH_ACCEPTED = "a path that starts with a slash";
const URL_ACCEPTED = "an http:// or https:// URL without a trailing slash";
const FLAG_ACCEPTED = "true or false";
const LIST_ACCEPTED = "a list";

/** The name of an organisation, service, zone or endpoint. */
export const nameSchema = z.string(NAME_ACCEPTED)
  .max(MAXIMUM_NAME_CHARACTERS, NAME_ACCEPTED)
  .regex(/^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/, NAME_ACCEPTED);

/** The weight of an organisation. */
export const weightSchema = z.number(WEIGHT_ACCEPTED)
  .gt(0, WEIGHT_ACCEPTED)
  .max(MAXIMUM_WEIGHT, WEIGHT_ACCEPTED);

/** An upper limit, as a whole number. */
export const limitSchema = z.int(LIMIT_ACCEPTED)
  .min(1, LIMIT_ACCEPTED)
  .max(MAXIMUM_LIMIT, LIMIT_ACCEPTED);

/** An estimate of a call's cost. */
export const costSchema = z.number(COST_ACCEPTED)
  .gt(0, COST_ACCEPTED)
  .max(MAXIMUM_COST, COST_ACCEPTED);

/** The hash of a bearer key. */
export const keyHashSchema = z.string(HASH_ACCEPTED)
  .regex(/^[0-9a-f]{64}$/, HASH_ACCEPTED);

/** The base URL of an endpoint. */
export const urlSchema = z.string(URL_ACCEPTED)
  .refine(isBaseUrl, URL_ACCEPTED);

/** The type of back end behind a service. */
export const serviceKindSchema = z.enum(
  ServiceKind,
  `one of ${Object.values(ServiceKind).join(", ")}`,
);

/** An HTTP method of a repeat rule. */
export const methodSchema = z.string(METHOD_ACCEPTED)
  .regex(/^([A-Z]+|\*)$/, METHOD_ACCEPTED);

/** The path prefix of a repeat rule. */
export const pathPrefixSchema = z.string(PATH_ACCEPTED)
  .regex(/^\/\S*$/, PATH_ACCEPTED);

/** A boolean. */
export const flagSchema = z.boolean(FLAG_ACCEPTED);

const organisationSchema = z.strictObject({
  name: nameSchema,
  weight: weightSchema,
  keyHashes: z.array(keyHashSchema, LIST_ACCEPTED),
  services: z.array(nameSchema, LIST_ACCEPTED),
  queueLimit: limitSchema,
});

const repeatRuleSchema = z.strictObject({
  method: methodSchema,
  pathPrefix: pathPrefixSchema,
  repeatable: flagSchema,
});

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: serviceKindSchema,
  repeatRules: z.array(repeatRuleSchema, LIST_ACCEPTED),
  initialCostEstimate: costSchema,
});

const zoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  drained: flagSchema,
});

const endpointSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  service: nameSchema,
  url: urlSchema,
  coldLimit: limitSchema,
  limitCeiling: limitSchema,
  drained: flagSchema,
  checksFencing: flagSchema,
});

/** One operation of a change. */
export const operationSchema: z.ZodType<Operation> = z.discriminatedUnion(
  "kind",
  [
    z.strictObject({
      kind: z.literal(OperationKind.PutOrganisation),
      organisation: organisationSchema,
    }),
    createRemovalSchema(OperationKind.RemoveOrganisation),
    z.strictObject({
      kind: z.literal(OperationKind.PutService),
      service: serviceSchema,
    }),
    createRemovalSchema(OperationKind.RemoveService),
    z.strictObject({
      kind: z.literal(OperationKind.PutZone),
      zone: zoneSchema,
    }),
    createRemovalSchema(OperationKind.RemoveZone),
    z.strictObject({
      kind: z.literal(OperationKind.PutEndpoint),
      endpoint: endpointSchema,
    }),
    createRemovalSchema(OperationKind.RemoveEndpoint),
  ],
  { error: `one of ${Object.values(OperationKind).join(", ")}` },
);

/** A configuration as stored in a snapshot. */
export const snapshotSchema = z.strictObject({
  version: z.int().min(0),
  organisations: z.array(organisationSchema),
  services: z.array(serviceSchema),
  zones: z.array(zoneSchema),
  endpoints: z.array(endpointSchema),
});

function createRemovalSchema<Kind extends OperationKind>(kind: Kind) {
  return z.strictObject({ kind: z.literal(kind), name: nameSchema });
}

function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text) || text.endsWith("/")) {
    return false;
  }
  return /^https?:$/.test(new URL(text).protocol);
}
