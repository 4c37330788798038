/** Lists the settings with their units and defaults, for pages and tools. */

import { z } from "zod";
import { routerSettingsSchema } from "./router_settings.ts";

/** One setting as the operators' page shows it. */
export interface SettingDescription {
  /** The path of keys, joined by dots; `[]` stands for each item of a list. */
  key: string;
  /** Empty for settings that have none. */
  unit: string;
  /** As JSON text; undefined when the setting is required or has none. */
  defaultValue: string | undefined;
  required: boolean;
  description: string;
}

interface Unwrapped {
  schema: z.core.$ZodType;
  description: string;
  defaultValue: string | undefined;
  required: boolean;
}

const UNITS: ReadonlyMap<string, string> = new Map([
  ["Milliseconds", "ms"],
  ["PerSecond", "1/s"],
  ["Bytes", "bytes"],
  ["Ratio", "ratio"],
]);

/** Lists every setting in the order of the schema. */
export function listSettings(): SettingDescription[] {
  const settings: SettingDescription[] = [];
  collectSettings("", routerSettingsSchema, settings);
  return settings;
}

function collectSettings(
  key: string,
  wrapped: z.core.$ZodType,
  settings: SettingDescription[],
): void {
  const { schema, ...facts } = findInnerSchema(wrapped);
  if (schema instanceof z.ZodObject) {
    for (const [name, child] of Object.entries(schema.shape)) {
      const path = key === "" ? name : `${key}.${name}`;
      collectSettings(path, child as z.core.$ZodType, settings);
    }
    return;
  }
  settings.push({ key, unit: findUnit(key), ...facts });
  if (schema instanceof z.ZodArray && schema.element instanceof z.ZodObject) {
    collectSettings(`${key}[]`, schema.element, settings);
  }
}

function findInnerSchema(wrapped: z.core.$ZodType): Unwrapped {
  const facts: Unwrapped = {
    schema: wrapped,
    description: "",
    defaultValue: undefined,
    required: true,
  };
  for (;;) {
    const { schema } = facts;
    facts.description ||= z.globalRegistry.get(schema)?.description ?? "";
    if (schema instanceof z.ZodDefault) {
      facts.defaultValue = JSON.stringify(schema.def.defaultValue);
    } else if (
      !(schema instanceof z.ZodOptional || schema instanceof z.ZodPrefault)
    ) {
      return facts;
    }
    facts.required = false;
    facts.schema = schema.def.innerType;
  }
}

function findUnit(key: string): string {
  for (const [ending, unit] of UNITS) {
    if (key.endsWith(ending)) {
      return unit;
    }
  }
  return "";
}
