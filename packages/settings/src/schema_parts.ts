/** Reusable schemas of settings; their error messages describe accepted values. */

import { isIP } from "node:net";
import { z } from "zod";

const MAXIMUM_PORT = 65_535;
const MAXIMUM_NAME_CHARACTERS = 63;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;

/** The bounds of an integer, both inclusive. */
export interface IntegerBounds {
  minimum: number;
  maximum: number;
}

/** Builds the schema of an integer within bounds. */
export function buildInteger(bounds: IntegerBounds): z.ZodInt {
  const accepted = `a whole number from ${bounds.minimum} to ${bounds.maximum}`;
  return z.int(accepted)
    .min(bounds.minimum, accepted)
    .max(bounds.maximum, accepted);
}

/** Builds the schema of a number, integer or not, from 0 to `most`. */
export function buildFraction(most: number): z.ZodNumber {
  const accepted = `a number from 0 to ${most}`;
  return z.number(accepted).min(0, accepted).max(most, accepted);
}

/** Builds the schema of a section; unknown keys are rejected. */
export function buildSection<Shape extends z.ZodRawShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  const keys = Object.keys(shape).join(", ");
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys" ? undefined : `the keys ${keys}`,
  });
}

/** Builds the schema of a list. */
export function buildList<Item extends z.ZodType>(
  item: Item,
): z.ZodArray<Item> {
  return z.array(item, "a list");
}

const NAME_ACCEPTED =
  `1 to ${MAXIMUM_NAME_CHARACTERS} lower-case letters, digits, dots and hyphens`;

/** Schema of the name of a VM, zone or region. */
export const nameSchema = z.string(NAME_ACCEPTED)
  .max(MAXIMUM_NAME_CHARACTERS, NAME_ACCEPTED)
  .regex(NAME_PATTERN, NAME_ACCEPTED);

const HOST_ACCEPTED = "an IPv4 or IPv6 address";

/** Schema of an IP address. */
export const hostSchema = z.string(HOST_ACCEPTED)
  .refine((host) => isIP(host) !== 0, HOST_ACCEPTED);

/** Schema of a TCP port. */
export const portSchema = buildInteger({ minimum: 1, maximum: MAXIMUM_PORT });

const URL_ACCEPTED = "an http:// or https:// URL without a trailing slash";

/** Schema of a base URL. */
export const baseUrlSchema = z.string(URL_ACCEPTED)
  .refine(isBaseUrl, URL_ACCEPTED);

function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text) || text.endsWith("/")) {
    return false;
  }
  return /^https?:$/.test(new URL(text).protocol);
}
