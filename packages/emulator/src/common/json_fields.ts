/** Typed access to the fields of a JSON object from outside. */

import type { HttpExchange } from "./http_exchange.ts";
import { HttpProblem } from "./http_exchange.ts";

/** A JSON object whose fields are not known to be right. */
export class JsonFields {
  readonly #fields: Record<string, unknown>;

  constructor(fields: Record<string, unknown>) {
    this.#fields = fields;
  }

  /** A field as it came; undefined when it is missing. */
  get(name: string): unknown {
    return this.#fields[name];
  }

  /** A string that must be there. */
  string(name: string): string {
    const value = this.#fields[name];
    if (typeof value !== "string") {
      throw new HttpProblem(400, `The field "${name}" must be a string`);
    }
    return value;
  }

  /** A number; without a fallback, it must be there. */
  number(name: string, fallback?: number): number {
    const value = this.#fields[name] ?? fallback;
    if (typeof value !== "number" || !Number.isFinite(value)) {
      throw new HttpProblem(400, `The field "${name}" must be a number`);
    }
    return value;
  }

  /** A boolean; false when it is missing. */
  boolean(name: string): boolean {
    const value = this.#fields[name] ?? false;
    if (typeof value !== "boolean") {
      throw new HttpProblem(400, `The field "${name}" must be true or false`);
    }
    return value;
  }

  /** A list of objects that must be there. */
  objects(name: string): JsonFields[] {
    const value = this.#fields[name];
    if (!Array.isArray(value)) {
      throw new HttpProblem(400, `The field "${name}" must be a list`);
    }
    return value.map((item) => toFields(item));
  }

  /** An object that must be there. */
  object(name: string): JsonFields {
    return toFields(this.#fields[name]);
  }

  /** A list of strings that must be there. */
  strings(name: string): string[] {
    const value = this.#fields[name];
    const isList = Array.isArray(value) &&
      value.every((item) => typeof item === "string");
    if (!isList) {
      throw new HttpProblem(400, `The field "${name}" must be a list of texts`);
    }
    return value;
  }

  /** Refuses fields outside the list, so that a misspelt fault shows. */
  checkNames(allowed: readonly string[]): void {
    for (const name of Object.keys(this.#fields)) {
      if (!allowed.includes(name)) {
        throw new HttpProblem(
          400,
          `The field "${name}" is not known; use ${allowed.join(", ")}`,
        );
      }
    }
  }
}

/** Reads a body that must be a JSON object; an empty one counts as `{}`. */
export async function readJsonFields(
  exchange: HttpExchange,
): Promise<JsonFields> {
  const text = (await exchange.readBody()).toString("utf8");
  if (text === "") {
    return new JsonFields({});
  }
  try {
    return toFields(JSON.parse(text));
  } catch (error) {
    if (error instanceof HttpProblem) {
      throw error;
    }
    throw new HttpProblem(400, "The body must be JSON");
  }
}

function toFields(value: unknown): JsonFields {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new HttpProblem(400, "A JSON object is expected");
  }
  return new JsonFields(value as Record<string, unknown>);
}
