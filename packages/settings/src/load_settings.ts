/** Loads and validates the router's settings file. */

import { readFileSync } from "node:fs";
import { describeError } from "@rattanvane/base";
import { err, type Result } from "neverthrow";
import type { z } from "zod";
import {
  type RouterSettings,
  routerSettingsSchema,
} from "./router_settings.ts";
import { parseYamlFile } from "./yaml_file.ts";
import { YamlFileError, YamlFileErrorKind } from "./yaml_file_error.ts";

/** An error in the settings; identifies file, line, key, value and remedy. */
export type SettingsError = YamlFileError;

/** Loads and validates a settings file; on failure, returns all errors found. */
export function loadSettings(
  file: string,
): Result<RouterSettings, SettingsError[]> {
  try {
    return parseSettings(readFileSync(file, "utf8"), file);
  } catch (error) {
    return err([
      new YamlFileError({
        kind: YamlFileErrorKind.Unreadable,
        file,
        key: "",
        problem: `Cannot read the settings file "${file}": ${
          describeError(error)
        }`,
        remedy: "check the path and the file's permissions",
        cause: error,
      }),
    ]);
  }
}

/** Parses and validates settings text; `file` is the file name used in errors. */
export function parseSettings(
  text: string,
  file: string,
): Result<RouterSettings, SettingsError[]> {
  const schema = routerSettingsSchema.superRefine(checkPorts)
    .superRefine(checkPeers)
    .transform(addDerivedSettings);
  return parseYamlFile(text, { schema, file, secretKeys: ["fleetKeys"] });
}

type ParsedSettings = z.output<typeof routerSettingsSchema>;

function checkPorts(
  settings: ParsedSettings,
  context: z.RefinementCtx,
): void {
  if (settings.listen.callerPort === settings.listen.controlPort) {
    context.addIssue({
      code: "custom",
      path: ["listen", "controlPort"],
      message: "another port than callerPort",
    });
  }
}

function checkPeers(
  settings: ParsedSettings,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  settings.peers.forEach((peer, index) => {
    if (seen.has(peer.vm)) {
      context.addIssue({
        code: "custom",
        path: ["peers", index, "vm"],
        message: "a name that no other peer in the list has",
      });
    }
    seen.add(peer.vm);
  });
}

function addDerivedSettings(settings: ParsedSettings): RouterSettings {
  return {
    ...settings,
    advertise: settings.advertise ?? settings.listen,
    peers: settings.peers.filter((peer) => peer.vm !== settings.vm),
  };
}
