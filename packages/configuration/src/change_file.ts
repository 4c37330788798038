/** The file format of a proposed change, generated or written by hand. */

import { z } from "zod";
import { operationSchema } from "./operation_schema.ts";
import { questionnaireSchema } from "./questionnaire/questionnaire.ts";

const VERSION_ACCEPTED = "a version of the configuration, 0 for the empty one";
const LIST_ACCEPTED = "a list";

/** The file that `rattanvane configuration apply` takes. */
export const changeFileSchema = z.strictObject({
  /** The change is rejected if the configuration has a newer version. */
  madeForVersion: z.int(VERSION_ACCEPTED).min(0, VERSION_ACCEPTED),
  operations: z.array(operationSchema, LIST_ACCEPTED),
  /** The answered questionnaires that the operations were generated from. */
  questionnaires: z.array(questionnaireSchema, LIST_ACCEPTED).default([]),
});

/** A proposed change. */
export type ChangeFile = z.output<typeof changeFileSchema>;
