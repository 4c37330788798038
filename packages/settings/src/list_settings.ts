/** Lists the settings with their units and defaults, for documentation and tools. */

import { z } from "zod";
import { routerSettingsSchema } from "./router_settings.ts";

/** The description of one setting, as shown in the operators' documentation. */
export interface SettingDescription {
  /** The dot-separated key path; `[]` denotes each item of a list. */
  key: string;
  /** Unit symbol, such as `ms`; empty for settings without a unit. */
  unit: string;
  /** Default as JSON text; undefined when the setting is required or has none. */
  defaultValue: string | undefined;
  required: boolean;
  description: string;
}

interface UnwrappedSchema {
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

/** Lists all settings in schema order. */
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

function findInnerSchema(wrapped: z.core.$ZodType): UnwrappedSchema {
  const facts: UnwrappedSchema = {
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
  for (const [suffix, unit] of UNITS) {
    if (key.endsWith(suffix)) {
      return unit;
    }
  }
  return "";
}
