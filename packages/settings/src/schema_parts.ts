/** Schemas of single settings; their errors say what is accepted. */

import { isIP } from "node:net";
import { z } from "zod";

const HIGHEST_PORT = 65_535;
const LONGEST_NAME_CHARACTERS = 63;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$/;

/** The bounds of a whole number, both included. */
export interface IntegerBounds {
  least: number;
  most: number;
}

/** Builds the schema of a whole number. */
export function buildInteger(bounds: IntegerBounds): z.ZodInt {
  const accepted = `a whole number from ${bounds.least} to ${bounds.most}`;
  return z.int(accepted)
    .min(bounds.least, accepted)
    .max(bounds.most, accepted);
}

/** Builds the schema of a fraction from 0 to `most`. */
export function buildFraction(most: number): z.ZodNumber {
  const accepted = `a number from 0 to ${most}`;
  return z.number(accepted).min(0, accepted).max(most, accepted);
}

/** Builds the schema of a section; unknown keys are errors. */
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
  `1 to ${LONGEST_NAME_CHARACTERS} lower-case letters, digits, dots and hyphens`;

/** The name of a VM, zone or region. */
export const nameSchema = z.string(NAME_ACCEPTED)
  .max(LONGEST_NAME_CHARACTERS, NAME_ACCEPTED)
  .regex(NAME_PATTERN, NAME_ACCEPTED);

const HOST_ACCEPTED = "an IPv4 or IPv6 number";

/** An IP number. */
export const hostSchema = z.string(HOST_ACCEPTED)
  .refine((host) => isIP(host) !== 0, HOST_ACCEPTED);

/** A TCP port. */
export const portSchema = buildInteger({ least: 1, most: HIGHEST_PORT });

const URL_ACCEPTED = "an http:// or https:// URL without a final slash";

/** A base URL. */
export const baseUrlSchema = z.string(URL_ACCEPTED)
  .refine(isBaseUrl, URL_ACCEPTED);

function isBaseUrl(text: string): boolean {
  if (!URL.canParse(text) || text.endsWith("/")) {
    return false;
  }
  return /^https?:$/.test(new URL(text).protocol);
}
