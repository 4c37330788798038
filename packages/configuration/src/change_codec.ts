/** Encodes and decodes changes and configurations as JSON. */

import { describeError } from "@rattanvane/base";
import type { EncodedChange } from "@rattanvane/protocol";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Change } from "./change.ts";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "./configuration_error.ts";
import type { FleetConfiguration } from "./model.ts";
import { operationSchema, snapshotSchema } from "./operation_schema.ts";

const changeSchema: z.ZodType<Change> = z.strictObject({
  version: z.int().min(1),
  id: z.string(),
  author: z.string(),
  acceptedAt: z.number(),
  operations: z.array(operationSchema),
});

/** Encodes a change for the log and for messages to peers. */
export function encodeChange(change: Change): EncodedChange {
  return { version: change.version, body: JSON.stringify(change) };
}

/** Decodes a change; fails if this version cannot decode all of it. */
export function decodeChange(
  encoded: EncodedChange,
): Result<Change, ConfigurationError> {
  const subject = `change ${encoded.version}`;
  return parseJson(encoded.body, { schema: changeSchema, subject })
    .andThen((change) =>
      change.version === encoded.version
        ? ok(change)
        : err(createUnreadableError(subject, "its text has another version"))
    );
}

/** Encodes a whole configuration as JSON text. */
export function encodeSnapshot(configuration: FleetConfiguration): string {
  return JSON.stringify({
    version: configuration.version,
    organisations: [...configuration.organisations.values()],
    services: [...configuration.services.values()],
    zones: [...configuration.zones.values()],
    endpoints: [...configuration.endpoints.values()],
  });
}

/** Decodes a whole configuration. */
export function decodeSnapshot(
  text: string,
): Result<FleetConfiguration, ConfigurationError> {
  const subject = "snapshot of the configuration";
  return parseJson(text, { schema: snapshotSchema, subject })
    .map((snapshot) => ({
      version: snapshot.version,
      organisations: buildMap(snapshot.organisations),
      services: buildMap(snapshot.services),
      zones: buildMap(snapshot.zones),
      endpoints: buildMap(snapshot.endpoints),
    }));
}

function buildMap<Part extends { name: string }>(
  parts: readonly Part[],
): Map<string, Part> {
  return new Map(parts.map((part) => [part.name, part]));
}

function parseJson<Value>(
  text: string,
  options: { schema: z.ZodType<Value>; subject: string },
): Result<Value, ConfigurationError> {
  try {
    const parsed = options.schema.safeParse(JSON.parse(text));
    if (parsed.success) {
      return ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const reason = issue === undefined
      ? "it does not fit"
      : `"${issue.path.map(String).join(".")}" is not ${issue.message}`;
    return err(createUnreadableError(options.subject, reason));
  } catch (error) {
    return err(createUnreadableError(options.subject, describeError(error)));
  }
}

function createUnreadableError(
  subject: string,
  reason: string,
): ConfigurationError {
  return new ConfigurationError({
    kind: ConfigurationErrorKind.Unreadable,
    problem: `Cannot read the ${subject}: ${reason}`,
    remedy: "update this VM to the version that wrote it",
  });
}
