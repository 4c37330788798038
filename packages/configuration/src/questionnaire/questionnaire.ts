/** The schema of the questionnaire that teams fill in to join the fleet. */

import { z } from "zod";
import { ServiceKind } from "../model.ts";
import {
  costSchema,
  flagSchema,
  keyHashSchema,
  limitSchema,
  nameSchema,
  serviceKindSchema,
  urlSchema,
  weightSchema,
} from "../operation_schema.ts";

const DEFAULT_WAITING_REQUESTS = 500;
const DEFAULT_LIMIT_CEILING = 256;

const CONTACT_ACCEPTED = "a text, such as a mail address";
const LIST_ACCEPTED = "a list";
const CALL_ACCEPTED =
  "an upper-case method (or *), a space and the start of a path, such as " +
  '"POST /print"';

const organisationSchema = z.strictObject({
  name: nameSchema,
  contact: z.string(CONTACT_ACCEPTED).min(1, CONTACT_ACCEPTED),
  shareWeight: weightSchema.default(1),
  waitingRequests: limitSchema.default(DEFAULT_WAITING_REQUESTS),
  keyHashes: z.array(keyHashSchema, LIST_ACCEPTED).default([]),
}, { error: createSectionError("name, contact, shareWeight, keyHashes") });

const zoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
}, { error: createSectionError("name, region") });

const endpointSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  url: urlSchema,
  coldLimit: limitSchema,
  limitCeiling: limitSchema.default(DEFAULT_LIMIT_CEILING),
  checksFencing: flagSchema.default(false),
}, { error: createSectionError("name, zone, url, coldLimit") });

const serviceSchema = z.strictObject({
  name: nameSchema,
  kind: serviceKindSchema,
  typicalCost: costSchema.optional(),
  notRepeatable: z.array(
    z.string(CALL_ACCEPTED).regex(/^([A-Z]+|\*) \/\S*$/, CALL_ACCEPTED),
    LIST_ACCEPTED,
  ).default([]),
  endpoints: z.array(endpointSchema, LIST_ACCEPTED).default([]),
}, { error: createSectionError("name, kind, endpoints") })
  .refine(
    (service) =>
      service.kind === ServiceKind.Plain || service.notRepeatable.length === 0,
    { path: ["notRepeatable"], error: "an empty list for a model" },
  );

/** Validates a completed questionnaire and fills in the defaults. */
export const questionnaireSchema = z.strictObject({
  organisation: organisationSchema,
  zones: z.array(zoneSchema, LIST_ACCEPTED).default([]),
  uses: z.array(nameSchema, LIST_ACCEPTED).default([]),
  services: z.array(serviceSchema, LIST_ACCEPTED).default([]),
}, { error: createSectionError("organisation, zones, uses, services") });

/** A completed questionnaire with all defaults. */
export type Questionnaire = z.output<typeof questionnaireSchema>;

function createSectionError(keys: string) {
  return (issue: { code?: string }) =>
    issue.code === "unrecognized_keys" ? undefined : `the keys ${keys}`;
}
