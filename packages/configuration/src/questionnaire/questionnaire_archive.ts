/** Stores the answers that were last applied to the configuration. */

import {
  type RowWrite,
  type TableService,
  WriteConditionKind,
} from "@rattanvane/platform";
import { err, ok, type Result } from "neverthrow";
import {
  ConfigurationError,
  ConfigurationErrorKind,
} from "../configuration_error.ts";
import { convertPlatformError } from "../convert_platform_error.ts";
import { QUESTIONNAIRE_PREFIX } from "../log_rows.ts";
import { type Questionnaire, questionnaireSchema } from "./questionnaire.ts";

/** Builds the row to write in the transaction of the generated change. */
export function buildQuestionnaireRow(questionnaire: Questionnaire): RowWrite {
  return {
    key: `${QUESTIONNAIRE_PREFIX}${questionnaire.organisation.name}`,
    condition: { kind: WriteConditionKind.Always },
    value: JSON.stringify(questionnaire),
  };
}

/** Reads an organisation's last answers; undefined if there are none. */
export async function readQuestionnaire(
  organisation: string,
  options: { table: TableService; signal: AbortSignal },
): Promise<Result<Questionnaire | undefined, ConfigurationError>> {
  const key = `${QUESTIONNAIRE_PREFIX}${organisation}`;
  const row = await options.table.read(key, options.signal);
  if (row.isErr()) {
    return err(convertPlatformError(row.error));
  }
  if (row.value === undefined) {
    return ok(undefined);
  }
  const parsed = questionnaireSchema.safeParse(JSON.parse(row.value.value));
  return parsed.success ? ok(parsed.data) : err(
    new ConfigurationError({
      kind: ConfigurationErrorKind.Unreadable,
      problem: `Cannot read the earlier answers of "${organisation}" in the ` +
        `row "${key}"`,
      remedy: "use the version of rattanvane that wrote them",
    }),
  );
}
