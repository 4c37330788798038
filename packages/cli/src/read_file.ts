/** Reads and writes the files that commands are given. */

import { readFileSync, writeFileSync } from "node:fs";
import { describeError, ProductError } from "@rattanvane/base";
import { parseYamlFile } from "@rattanvane/settings";
import {
  type ChangeFile,
  changeFileSchema,
  type Questionnaire,
  questionnaireSchema,
} from "@rattanvane/configuration";
import { stringify } from "yaml";
import { CommandFailure } from "./command_failure.ts";
import { ExitCode } from "./exit_code.ts";

/** Reads a team's form; throws a CommandFailure with all its faults. */
export function loadQuestionnaire(file: string): Questionnaire {
  const text = readText(file);
  const parsed = parseYamlFile(text, { schema: questionnaireSchema, file });
  if (parsed.isErr()) {
    throw new CommandFailure(ExitCode.Invalid, parsed.error);
  }
  return parsed.value;
}

/** Reads a change that is not accepted yet; throws a CommandFailure. */
export function loadChangeFile(file: string): ChangeFile {
  const text = readText(file);
  const parsed = parseYamlFile(text, { schema: changeFileSchema, file });
  if (parsed.isErr()) {
    throw new CommandFailure(ExitCode.Invalid, parsed.error);
  }
  return parsed.value;
}

/** Formats a change that is not accepted yet. */
export function formatChangeFile(change: ChangeFile): string {
  return stringify(change);
}

/** Writes a file; throws a CommandFailure. */
export function writeText(file: string, text: string): void {
  try {
    writeFileSync(file, text);
  } catch (error) {
    throw createFileFailure(`Cannot write the file "${file}"`, error);
  }
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw createFileFailure(`Cannot read the file "${file}"`, error);
  }
}

function createFileFailure(problem: string, error: unknown): CommandFailure {
  const cause = new ProductError({
    kind: "file",
    problem: `${problem}: ${describeError(error)}`,
    remedy: "check the path and its permissions",
    cause: error,
  });
  return new CommandFailure(ExitCode.Failed, [cause]);
}
